package control

import (
	"fmt"
	"testing"

	"nutmegrouter/internal/api"
)

// TestGroupForms guards against a group that does not form, a change that is
// acknowledged before a majority of instances has it, and a change that is lost when
// all instances restart.
func TestGroupForms(t *testing.T) {
	for _, size := range []struct{ disks, others int }{{1, 0}, {1, 2}, {3, 0}, {3, 4}} {
		t.Run(fmt.Sprintf("%d disks %d others", size.disks, size.others), func(t *testing.T) {
			c := newCluster(t, size.disks, size.others)
			c.waitLeader()
			for _, name := range c.names {
				base := c.view(name).Revision
				r := c.submit(name, api.Submission{ChangeID: "change-" + name, BaseRevision: base, Config: document()})
				c.is.Equal(r, api.SubmitResult{Revision: base + 1})
				c.is.True(c.countInstancesAt(r.Revision) > len(c.names)/2)
				c.pumpUntil("view everywhere", func() bool { return c.countInstancesAt(r.Revision) == len(c.names) })
			}
			c.restartAll()
			c.pumpUntil("view after restart", func() bool { return c.countInstancesAt(uint64(len(c.names))) == len(c.names) })
			again := c.submit(c.names[0], api.Submission{ChangeID: "change-i0", Config: document()})
			c.is.Equal(again, api.SubmitResult{Revision: 1})
		})
	}
}

func (c *cluster) view(name string) *api.View { return fleet{c.running(name)}.View() }

// countInstancesAt counts the running instances that have at least a revision.
func (c *cluster) countInstancesAt(revision uint64) int {
	n := 0
	for _, name := range c.names {
		if inst := c.running(name); inst != nil && (fleet{inst}).View().Revision >= revision {
			n++
		}
	}
	return n
}

func (c *cluster) restartAll() {
	for _, name := range c.names {
		c.stop(name)
	}
	for _, name := range c.names {
		c.start(name)
	}
}
