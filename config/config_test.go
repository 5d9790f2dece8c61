package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validText = `[instance]
id = n1
folder = /var/lib/alderproxy
admin = 127.0.0.1:9400
[log]
format = json
[opensearch]
listen = 127.0.0.1:9200
[store s-1]
addr = 127.0.0.1:9301
[store s-2]
addr = 127.0.0.1:9302
cell = 1
[agreement]
listen = 127.0.0.1:7401
stale_after = 2s
[layout]
cells = 2
[class lookup]
aim = 1s
give_up = 2s
[index catalogue]
class = lookup
slices = 0
`

func TestParse(t *testing.T) {
	c, err := Parse("n1.ini", validText)
	require.NoError(t, err)
	assert.Equal(t, "json", c.Log.Format)
	assert.Equal(t, Agreement{
		Listen: "127.0.0.1:7401", Address: "127.0.0.1:7401", StalenessBound: 2 * time.Second, RaftSpeedup: 1,
		KeepVersions: 1000, SnapshotThreshold: 200,
	}, *c.Agreement)
	require.Len(t, c.OpenSearch.Stores, 2)
	assert.Equal(t, 1, c.OpenSearch.Stores[1].RingPosition)
	assert.Len(t, c.Document.Indices, 1)
	assert.NotEmpty(t, c.DocumentText)
	minimal, err := Parse("f", "[log]\n")
	require.NoError(t, err)
	assert.Nil(t, minimal.OpenSearch)
	assert.Nil(t, minimal.Agreement)
	assert.Empty(t, minimal.DocumentText)
}

// TestFaults checks that the first fault of a file names the line, section and key, and says what is expected.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"id = n1", "id = N 1", `n1.ini:2: instance.id: invalid id "N 1": expected up to 32 lower-case letters, digits and -, the first a letter or digit`},
		{"folder = /var/lib/alderproxy\n", "", "n1.ini:13: agreement: needs instance.folder"},
		{"listen = 127.0.0.1:7401", "address = 127.0.0.1:1", "n1.ini:14: agreement.listen: is missing"},
		{"stale_after = 2s", "stale_after = 1ms", "n1.ini:16: agreement.stale_after: is 1ms, but must be between 200ms and 1h0m0s"},
		{"addr = 127.0.0.1:9302", "addr = 127.0.0.1:9301", "n1.ini:12: store s-2.addr: 127.0.0.1:9301 is also the address of store s-1"},
		{"cell = 1\n", "cell = 2\n", "n1.ini:7: opensearch: store s-2 is in cell 2, but the layout has only 2 cells"},
		{"[class lookup]", "[klass lookup]", "n1.ini:19: klass lookup: unknown section"},
		{"format = json", "format = xml", `n1.ini:6: log.format: invalid value "xml": expected one of text, json`},
	} {
		_, err := Parse("n1.ini", strings.Replace(validText, c.old, c.new, 1))
		if assert.Error(t, err, c.new) {
			assert.Equal(t, c.want, err.Error())
		}
	}
}

// TestThousandStoresAndIndicesFitAFile checks that the limits on a file's size and sections do not limit deployments, which have
// some hundreds of stores and indices.
func TestThousandStoresAndIndicesFitAFile(t *testing.T) {
	text := strings.NewReplacer("cells = 2", "cells = 1024", "[store s-2]\naddr = 127.0.0.1:9302\ncell = 1\n", "").Replace(validText)
	for i := range 1023 {
		text += fmt.Sprintf("\n[store s-%s-%d]\n# %s\naddr = 10.%d.%d.1:9301\ncell = %d\nsize = 1.5\n[index i-%s-%d]\nclass = lookup\nslices = 0\n",
			strings.Repeat("s", 16), i, strings.Repeat("x", 200), i/256, i%256, i, strings.Repeat("n", 16), i)
	}
	c, err := Parse("n1.ini", text)
	require.NoError(t, err)
	assert.Len(t, c.OpenSearch.Stores, 1024)
	assert.Len(t, c.Document.Indices, 1024)
}
