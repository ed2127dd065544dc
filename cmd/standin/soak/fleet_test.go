package soak

import (
	"path/filepath"
	"testing"
	"time"
)

// TestRunWithoutProgram guards against a run that never ends because the program of the
// nodes cannot be started.
func TestRunWithoutProgram(t *testing.T) {
	directory := t.TempDir()
	failed := make(chan error, 1)
	go func() {
		_, err := Run(t.Context(), Plan{Program: filepath.Join(directory, "missing"), Directory: directory, Seed: 1, Duration: time.Second, Nodes: 1, ModelReplicas: 1, ServiceReplicas: 1})
		failed <- err
	}()
	select {
	case err := <-failed:
		if err == nil {
			t.Error("got no error, want one that the program cannot be started")
		}
	case <-time.After(10 * time.Second):
		t.Error("got a run that does not end, want an error")
	}
}
