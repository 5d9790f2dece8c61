package harness

import (
	"encoding/json"
	"fmt"
	"path/filepath"
)

// Layout of the small deployment: shards, cells and stores for each cell.
const (
	Shards        = 4
	Cells         = 2
	StoresPerCell = 2
)

// The gatherer's limits. They are those that the operators' bench states on one of its days (join+brink), and inside the
// ranges of the pages: 32 to 192 MB, 256 to 1,024 descriptors.
const (
	MemoryMB    = 64
	Descriptors = 672
)

// Fleet is one gatherer with its stores and its agent.
type Fleet struct {
	Front      string // the address for clients
	ConfigPath string
	Program    *Program
	Discovery  *Discovery
	Stores     []*Store
}

// StartFleet starts the stand-ins for the stores and the agent, and one gatherer. prepare may change a store before it is
// started.
func (r *Run) StartFleet(prepare func(*Store)) (*Fleet, error) {
	f := &Fleet{Discovery: &Discovery{}}
	for cell := range Cells {
		for range StoresPerCell {
			s := &Store{Name: fmt.Sprintf("s-%d", len(f.Stores)+1), Cell: cell}
			prepare(s)
			if err := s.Serve(); err != nil {
				return nil, err
			}
			f.Stores = append(f.Stores, s)
		}
	}
	if err := f.Discovery.Serve(f.Stores); err != nil {
		return nil, err
	}
	var err error
	if f.Front, err = FreeAddr(); err != nil {
		return nil, err
	}
	if err := f.WriteConfig(r, f.Discovery); err != nil {
		return nil, err
	}
	if f.Program, err = r.StartProgram("EDGE_CONFIG="+f.ConfigPath, "ALDERPROXY_CONFIG=",
		"EDGE_NAME=n1", "EDGE_LISTEN="+f.Front, "EDGE_DISCOVERY="+f.Discovery.Addr); err != nil {
		return nil, err
	}
	return f, r.AwaitReady(f.Front)
}

// WriteConfig writes the gatherer's configuration, with the address of an agent.
func (f *Fleet) WriteConfig(r *Run, d *Discovery) error {
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": f.Front, "discovery": d.Addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": MemoryMB, "sockets": Descriptors},
		"settings": settings(),
	})
	if err != nil {
		return err
	}
	f.ConfigPath = filepath.Join(r.TempDir, "config.json")
	_, err = r.WriteFile("config.json", string(text))
	return err
}

// settings returns settings with the figures of the pages for kq-klang, for one gatherer and four stores.
func settings() map[string]any {
	class := func(name, effect string, promise, giveUp, window int, gain, late float64) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "promise_us": promise, "give_up_us": giveUp, "window_us": window,
			"gain": gain, "late_worth": late, "dedup_scope": "all", "streaming": false,
		}
	}
	return map[string]any{
		"my_number": 0, "fleet_size": 1, "tick_us": 5000, "locality": 0, "dcs": []string{"a"}, "kinds": []string{"std-a"},
		"discovery": "automatic", "workload": "fanout", "weights": "rough", "worth_by": "request", "stage": 0,
		"family_info": map[string]any{
			"slices": Shards, "cells": Cells, "reach": 1, "batch": 1, "per_call_work_us": 0,
			"need_by_class": []float64{1, 1, 1}, "least_share": []float64{1, 1, 1},
			"partial_earns": []float64{0.9, 0.9, 0.9}, "fetch_parts": []int{0, 0, 0},
		},
		"grades": []any{
			class("shop-report", "read_like", 3_000_000, 10_000_000, 5_000_000, 5, 0),
			class("price-lookup", "read_like", 1_500_000, 4_000_000, 5_000_000, 1, 0.3),
			class("quote-save", "idempotency_key", 1_500_000, 3_000_000, 3_000_000, 1, 0),
		},
		"feedback": map[string]any{"how": "inline", "columns": []string{"rps", "waiting"}},
		"guarantees": map[string]any{
			"answer_slack_us": 20000, "drain_grace_us": 500000, "cold_share": 0.18, "cold_us": 17_000_000,
			"fall_multiple": 2.5, "overload_for_us": 2_000_000,
		},
		"permissions": map[string]any{
			"cancel": true, "second_copies": true, "probes": true, "retry_after": true, "max_retry_after_us": 2_000_000,
			"max_attempts": 4, "max_open": 150, "max_streams": 32, "conn_idle_us": 15_000_000, "connect_timeout_us": 250_000,
		},
	}
}
