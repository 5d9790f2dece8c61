package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"alderproxy/httpwire"
)

// Entry is a store in discovery's list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Discovery is a discovery service, or the agent that stands for it. It answers each call with the whole list, and a watch once
// the list has changed or its time is over.
type Discovery struct {
	Addr string
	// Delay is the time that each answer takes.
	Delay time.Duration

	mu      sync.Mutex
	version int
	entries []Entry
	changed chan struct{}
}

// StartDiscovery starts a discovery service with a list.
func StartDiscovery(entries ...Entry) (*Discovery, error) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), version: 1, entries: entries, changed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// SetEntries replaces the list.
func (d *Discovery) SetEntries(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	hold, _ := strconv.Atoi(r.FormValue("hold_ms"))
	from, _ := strconv.Atoi(r.FormValue("from"))
	timeout := time.After(time.Duration(hold) * time.Millisecond)
	for {
		d.mu.Lock()
		version, entries, changed := d.version, d.entries, d.changed
		d.mu.Unlock()
		expired := false
		if version == from {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		answer := map[string]any{"version": version, "full": !expired, "servers": entries}
		if expired {
			answer["servers"] = []Entry{}
		}
		time.Sleep(d.Delay)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
}

// Class is a class of the settings.
type Class struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`
	PromiseU int64   `json:"promise_us"`
	GiveUpU  int64   `json:"give_up_us"`
	WindowU  int64   `json:"window_us"`
	Gain     float64 `json:"gain"`
	Late     float64 `json:"late_worth"`
}

// KlangClasses are the classes of the site's settings.
func KlangClasses() []Class {
	return []Class{
		{"shop-report", "read_like", 3000000, 10000000, 5000000, 5, 0},
		{"price-lookup", "read_like", 1500000, 4000000, 5000000, 1, 0.3},
		{"quote-save", "idempotency_key", 1500000, 3000000, 3000000, 1, 0},
	}
}

// Settings returns settings like those of a small deployment.
func Settings(classes []Class) map[string]any {
	ones := make([]float64, len(classes))
	zeros := make([]int, len(classes))
	for i := range ones {
		ones[i] = 1
	}
	return map[string]any{
		"my_number": 0, "fleet_size": 1, "tick_us": 5000, "locality": 0, "dcs": []string{"a"}, "kinds": []string{"std-a"},
		"discovery": "automatic", "workload": "fanout", "stage": 0, "tiers": []string{"quote-fleet"},
		"feedback": map[string]any{"columns": []string{"rps", "waiting"}, "how": "inline"},
		"family_info": map[string]any{
			"batch": 1, "cells": 1, "reach": 1, "slices": 4, "fetch_parts": zeros, "per_call_work_us": 0,
			"need_by_class": ones, "least_share": ones, "partial_earns": ones,
		},
		"grades": classes,
		"guarantees": map[string]any{
			"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_share": 0.18, "cold_us": 17000000,
			"drain_grace_us": 500000, "fall_multiple": 2.5, "overload_for_us": 2000000,
		},
		"permissions": map[string]any{
			"cancel": true, "second_copies": true, "retry_after": true, "max_retry_after_us": 2000000, "probes": true,
			"max_attempts": 4, "max_open": 150, "max_streams": 32, "conn_idle_us": 15000000, "connect_timeout_us": 250000,
		},
	}
}

// ErrNotReady is wrapped by the error of an instance whose health checks failed for 30 s after its start.
var ErrNotReady = errors.New("not ready within 30 s")

// Gatherer is an instance at the platform's front.
type Gatherer struct {
	*Process

	Name, Addr string
}

// StartGatherer is StartGathererKnowing without a list.
func (t *Trial) StartGatherer(name, discovery string, settings map[string]any) (*Gatherer, error) {
	return t.StartGathererKnowing(name, discovery, settings, nil)
}

// StartGathererKnowing writes the platform's file of an instance, starts the instance and waits until it is ready. known is the
// list as the instance last had it; nil: none.
func (t *Trial) StartGathererKnowing(name, discovery string, settings, known map[string]any) (*Gatherer, error) {
	addr, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(t.Folder, name+".json")
	config := map[string]any{
		"name": name, "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964", "settings": settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": t.Sockets},
	}
	if known != nil {
		config["known"] = known
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	p, err := t.StartCommand(name, "", "EDGE_NAME="+name, "EDGE_LISTEN="+addr, "EDGE_DISCOVERY="+discovery, "EDGE_CONFIG="+file)
	if err != nil {
		return nil, err
	}
	g := &Gatherer{Process: p, Name: name, Addr: addr}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.Exited(): // for example because its port is in use by now
			return nil, fmt.Errorf("%s has ended: %s", name, t.Log(name))
		default:
		}
		if g.Healthy() {
			t.Record("%s is ready", name)
			return g, nil
		}
	}
	return nil, fmt.Errorf("%s: %w", name, ErrNotReady)
}

// Healthy reports whether a health check succeeds.
func (g *Gatherer) Healthy() bool {
	c, err := Dial(g.Addr)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.Write([]byte("GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n"))
	response, err := httpwire.ReadResponse(bufio.NewReader(c))
	return err == nil && response.Status == http.StatusOK
}

// Request returns a request of a client in the form of the protocol page. The slices have equal masses.
func Request(class, id, timeout, key, filter string, slices ...int) []byte {
	var parts []string
	for _, slice := range slices {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%.6f}`, slice, 1/float64(len(slices))))
	}
	body := fmt.Sprintf(`{"slices":[%s],"filter":%q}`, strings.Join(parts, ","), filter)
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nRequest-Timeout: %s\r\n", class, id, timeout)
	if key != "" {
		head += "Idempotency-Key: " + key + "\r\n"
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}
