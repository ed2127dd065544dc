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

// Usage is the resource usage of a node's process. CPUTime and HeartbeatBytes are
// totals since the start of the process; ResidentBytes is the current size.
type Usage struct {
	// CPUTime is the user and system CPU time.
	CPUTime time.Duration
	// ResidentBytes is the resident set size in bytes.
	ResidentBytes int64
	// HeartbeatBytes is the total size of the heartbeats that the node has sent.
	HeartbeatBytes int64
}

// Units of /proc/PID/stat on the system that the rig runs on.
const (
	ticksPerSecond = 100
	pageBytes      = 4_096
)

// NodeUsage returns the resource usage of the node with index i.
func (r *Rig) NodeUsage(ctx context.Context, i int) (Usage, error) {
	id := r.ProcessID(NodeName(i))
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return Usage{}, fmt.Errorf("read process usage: %w", err)
	}
	// The command name ends in ")" and may itself contain blanks, so fields are
	// counted from its end.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system, resident = 11, 12, 21
	u := Usage{
		CPUTime:       time.Duration(parseNumber(fields[user])+parseNumber(fields[system])) * time.Second / ticksPerSecond,
		ResidentBytes: parseNumber(fields[resident]) * pageBytes,
	}
	u.HeartbeatBytes, err = r.heartbeatBytes(ctx, i)
	return u, err
}

func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (r *Rig) heartbeatBytes(ctx context.Context, i int) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Targets[i].OperatorAddress+"/metrics", nil)
	if err != nil {
		return 0, fmt.Errorf("build metrics request: %w", err)
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
