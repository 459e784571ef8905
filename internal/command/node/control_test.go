package node

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/routing"
)

// TestConfigurationIsSavedOnceTheDiskTakesIt guards against a control VM that hands out an earlier configuration after a restart, because the
// file could not be written when the configuration changed and nothing has changed since.
func TestConfigurationIsSavedOnceTheDiskTakesIt(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	is.New(t).NoErr(os.WriteFile(folder, nil, 0o600)) // the data folder can't be created
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &controlVM{
			node: &Node{log: logr.Discard()}, configFile: disk.BlobFile{Folder: folder, Name: configFileName},
			configsToSave: make(chan deck.RoutingDocument, 1),
		}
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return c.saveConfigs(ctx) })
		c.configsToSave <- deck.RoutingDocument{Version: 7, Body: []byte("{}")}
		time.Sleep(3 * time.Second)
		is.NoErr(os.Remove(folder))
		time.Sleep(time.Second)
		data, ok, err := c.configFile.Load()
		is.NoErr(err)
		is.True(ok)
		doc, err := routing.Decode(data)
		is.NoErr(err)
		is.Equal(doc.Version, uint64(7))
		cancel()
		is.NoErr(g.Wait())
	})
}
