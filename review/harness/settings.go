package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// formerRevokeMs is revokeMs before the settings change to that of the sheet.
const formerRevokeMs = 10000

// settingsChange lowers revokeMs in the settings files, with SIGHUP for one node, and later
// has the store turn that node away while a key is taken away.
func settingsChange(w *world) (int, error) {
	w.store.put("op", "config", config(3, orderRoutes(), []map[string]any{plainService("orders")}, []map[string]any{tenant("t1", "key-one", "key-two")}))
	for _, zone := range zones {
		if _, err := w.addReplica("orders", zone, "", 6, 0, servePlain(15*time.Millisecond)); err != nil {
			return 2, err
		}
	}
	before := sheetBounds
	if w.trouble {
		before.revokeMs = formerRevokeMs
	}
	var doors []*door
	for i, zone := range zones {
		d, err := w.store.addDoor()
		if err != nil {
			return 2, err
		}
		doors = append(doors, d)
		n := w.newNode(fmt.Sprintf("front-%s-%d", zone, 1), zone)
		w.writeSettings(n, doors[i].address, before)
		if err := w.startNode(n); err != nil {
			return 2, err
		}
	}
	go w.watchReady()
	if !w.awaitReady(10 * time.Second) {
		return 2, errors.New("nodes do not become ready")
	}
	w.sleep(3 * time.Second)
	for i, n := range w.nodes {
		w.writeSettings(n, doors[i].address, sheetBounds)
		w.line("settings of node %s: revokeMs %d instead of %d", n.name, sheetBounds.revokeMs, before.revokeMs)
	}
	w.signal(w.nodes[0], syscall.SIGHUP)
	w.sleep(10 * time.Second)
	if w.trouble {
		doors[0].shut.Store(true)
		w.line("the store turns node %s away with 503", w.nodes[0].name)
	}
	w.sleep(100 * time.Millisecond)
	w.store.put("op", "config", config(4, orderRoutes(), []map[string]any{plainService("orders")}, []map[string]any{tenant("t1", "key-one")}))
	acknowledged := time.Now()
	w.line("configuration 4 takes key-two away, acknowledged")
	end := acknowledged.Add(9 * time.Second)
	var probe keyProbe
	probe.run(w, "key-two", 50*time.Millisecond, func() bool { return time.Now().After(end) })
	late := probe.report(w, acknowledged)
	w.line("requests with key-two that were sent over %d ms after the acknowledgement and run: %d", revokeBound.Milliseconds(), late)
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}
