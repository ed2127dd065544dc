package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what one process of the rig has used so far.
type Usage struct {
	// Processor is user and system time.
	Processor time.Duration
	// Memory is the resident memory in bytes.
	Memory int64
	// Heartbeats is the bytes of heartbeats that a node sent.
	Heartbeats int64
}

// Clock ticks and pages of the system that the rig runs on.
const (
	ticksPerSecond = 100
	pageBytes      = 4_096
)

// UsageOf returns what the i-th node has used so far.
func (r *Rig) UsageOf(ctx context.Context, i int) (Usage, error) {
	id := r.ProcessID(NodeName(i))
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return Usage{}, fmt.Errorf("read usage: %w", err)
	}
	// The fields after the command's name, which ends in ")".
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system, resident = 11, 12, 21
	u := Usage{
		Processor: time.Duration(number(fields[user])+number(fields[system])) * time.Second / ticksPerSecond,
		Memory:    number(fields[resident]) * pageBytes,
	}
	u.Heartbeats, err = r.heartbeatBytes(ctx, i)
	return u, err
}

func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (r *Rig) heartbeatBytes(ctx context.Context, i int) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Targets[i].OperatorAddress+"/metrics", nil)
	if err != nil {
		return 0, fmt.Errorf("build metrics call: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("read metrics: %w", err)
	}
	defer resp.Body.Close()
	var all map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return 0, fmt.Errorf("decode metrics: %w", err)
	}
	return all["Peer.HeartbeatBytes"].Count, nil
}
