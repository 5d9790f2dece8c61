// Command standin is case 7: a client whose body cannot be read as JSON, since its text is no UTF-8.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"time"

	"alderproxy/httpwire"
	"alderproxy/review/rig"
)

const (
	requests  = 20
	storeWork = 20 * time.Millisecond
	plain     = "c41e77d0"
)

func main() { rig.Run(play) }

func play(t *rig.Trial) error {
	var stores []*rig.Store
	var entries []rig.Entry
	for _, name := range []string{"s-1", "s-2"} {
		s, err := t.StartStore(name, storeWork)
		if err != nil {
			return err
		}
		stores = append(stores, s)
		entries = append(entries, s.Entry(0, "in_service"))
	}
	discovery, err := rig.StartDiscovery(entries...)
	if err != nil {
		return err
	}
	gatherer, err := t.StartGatherer("n0", discovery.Addr, rig.Settings(rig.KlangClasses()))
	if err != nil {
		return err
	}
	texts := map[string]string{} // by the id of the query
	for i := range requests {
		id := fmt.Sprintf("%016x", 0x9b1f03aa5c7e8d00+uint64(i))
		texts[id] = plain
		request := rig.Request("price-lookup", id, "4.000", "", plain, 0, 1)
		if t.Trouble {
			texts[id] = "c41e\xff\xfed0" // as long as the plain text
			request = bytes.Replace(request, []byte(plain), []byte(texts[id]), 1)
		}
		if err := ask(t, gatherer.Addr, id, request); err != nil {
			return err
		}
	}
	for _, s := range stores {
		for _, a := range s.Attempts() {
			if a.Text != texts[a.QueryID()] {
				t.Break("void: store %s was sent part %s with the text %q, its client sent %q", s.Name, a.ID, a.Text, texts[a.QueryID()])
			}
		}
	}
	return nil
}

// ask sends one request on a connection of its own. One that cannot be read is owed an error or a close within 3 s.
func ask(t *rig.Trial, addr, id string, request []byte) error {
	c, err := rig.Dial(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write(request); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := httpwire.ReadResponse(bufio.NewReader(c))
	if err != nil {
		t.Record("%s: %v", id, err)
		return nil
	}
	t.Record("%s answered %d: %s", id, response.Status, response.Body)
	if t.Trouble && response.Status == 200 {
		t.Break("lost: %s cannot be read as JSON and was served as if it had run", id)
	}
	return nil
}
