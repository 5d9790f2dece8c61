package simcodec

import (
	"fmt"

	"alderproxy/policy"
)

// decodeList decodes an endpoint list and keeps it under its number, by which later records refer to it.
func (d *Decoder) decodeList(rec record, tail []byte) error {
	number := rec.u16(1)
	if number >= maxLists {
		return malformed("list number %d is out of range", number)
	}
	raw, err := tailSlice(tail, rec.u32(3), rec.u32(7), listEntrySize)
	if err != nil {
		return fmt.Errorf("list %d: %w", number, err)
	}
	list := make([]policy.Endpoint, 0, len(raw)/listEntrySize)
	for ; len(raw) > 0; raw = raw[listEntrySize:] {
		entry := record(raw[:listEntrySize])
		if entry[9] > 2 {
			return malformed("list %d: unknown endpoint state code %d", number, entry[9])
		}
		list = append(list, policy.Endpoint{
			ID: entry.u32(5), State: endpointStates[entry[9]], RingPosition: int(entry.u16(18)),
			Zone: int(entry[0]), Capacity: float64(entry.f32(1)), StartedAt: policy.Micros(entry.u64(10)),
		})
	}
	d.lists[number] = list
	d.listReceived[number] = true
	return nil
}

// endpointStates maps the protocol's codes of endpoint states.
var endpointStates = [3]policy.EndpointState{policy.Removed, policy.Ready, policy.Draining}

// decodeListChange decodes a list, or a change to it, that an instance receives. The record refers to it by its number.
func (d *Decoder) decodeListChange(rec record) (List, error) {
	number := rec.u16(1)
	mode := ListMode(rec[11])
	list := List{Version: rec.u64(3), Mode: mode}
	if mode > Failed {
		return List{}, malformed("unknown list mode %d", mode)
	}
	if mode == Failed {
		return list, nil
	}
	if number >= maxLists || !d.listReceived[number] {
		return List{}, malformed("list %d has not been received", number)
	}
	list.Entries = d.lists[number]
	return list, nil
}
