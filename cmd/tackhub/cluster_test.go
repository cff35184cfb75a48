package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"tackhub.example/tackhub/internal/cluster"
	swim "tackhub.example/tackhub/internal/members"
	"tackhub.example/tackhub/lab/mesh"
)

// bank is several processes of the program that are a cluster, with a link of its own for each directed pair.
type bank struct {
	t     *testing.T
	dir   string
	links *mesh.Mesh
	nodes []*process
	start func(i int) *process
}

// startBank starts n members named m0, m1 and so on; the first two are the seeds.
func startBank(t *testing.T, n int) *bank {
	t.Helper()
	dir, err := os.MkdirTemp("", "th") // short: local sockets' paths are bounded
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	var listens []string
	for range n {
		listens = append(listens, freeAddress(t))
	}
	links, err := mesh.New(listens, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(links.Close)
	d := startDiscovery(t, nil)
	b := &bank{t: t, dir: dir, links: links}
	b.start = func(i int) *process {
		edge := filepath.Join(dir, fmt.Sprintf("m%d.toml", i))
		text := fmt.Sprintf("[cluster]\nname = \"m%d\"\nlisten = %q\n", i, listens[i])
		seeds, book := []string{}, []string{}
		for j := range n {
			if i == j {
				continue
			}
			if len(seeds) < 2 {
				seeds = append(seeds, fmt.Sprintf("%q", links.Address(i, j)))
			}
			book = append(book, fmt.Sprintf("m%d = %q", j, links.Address(i, j)))
		}
		text += "seeds = [" + strings.Join(seeds, ", ") + "]\naddresses = { " + strings.Join(book, ", ") + " }\n"
		writeFile(t, edge, text)
		return startNode(t, setup{discovery: d.addr, env: []string{"TACKHUB_EDGE=" + edge, "TMPDIR=" + dir}})
	}
	for i := range n {
		b.nodes = append(b.nodes, b.start(i))
	}
	return b
}

// status is what a member holds; nothing where it does not answer.
func (b *bank) status(i int) cluster.Status {
	s, _, err := cluster.Ask(cluster.SocketPath(b.dir, fmt.Sprintf("m%d", i)))
	if err != nil {
		return cluster.Status{}
	}
	return s
}

// views waits until each of some members holds exactly what is wanted.
func (b *bank) views(what string, of []int, want ...string) {
	b.t.Helper()
	eventually(b.t, what, func() bool {
		return !slices.ContainsFunc(of, func(i int) bool { return !slices.Equal(b.status(i).View.Members, want) })
	})
}

// Two processes, one cut, one verdict each; whole again, one view again. The cut goes one way: the member that is not heard
// has to find that out too.
func TestTwoMembersAndACut(t *testing.T) {
	t.Parallel()
	b := startBank(t, 2)
	both := []int{0, 1}
	b.views("both to meet", both, "m0", "m1")
	before := b.status(0).View.Number
	b.links.Cut(1, 0, true)
	b.views("m0 to lose m1", []int{0}, "m0")
	eventually(t, "the verdict with its evidence", func() bool {
		m := b.status(0).Members
		return len(m) == 1 && m[0].State == swim.Unreachable && m[0].Accusers["m0"] > 0
	})
	eventually(t, "both to hold themselves for cut off", func() bool {
		return b.status(0).Condition == swim.Deaf && b.status(1).Condition == swim.Mute
	})
	if !strings.Contains(b.nodes[1].log.String(), `"is":"not heard"`) {
		t.Error("m1 does not say in its log that it is not heard")
	}
	b.links.Cut(1, 0, false)
	b.views("one view again", both, "m0", "m1")
	eventually(t, "both to be whole", func() bool {
		return b.status(0).Condition == swim.Whole && b.status(1).Condition == swim.Whole
	})
	if after := b.status(0).View.Number; after <= before {
		t.Errorf("the view's number went from %d to %d", before, after)
	}
	out, code := tackhub(t, []string{"TMPDIR=" + b.dir}, "members", "--name", "m0")
	if code != 0 || !strings.Contains(out, "m1 ") || !strings.Contains(out, "2 members: m0 m1") {
		t.Errorf("exit code %d:\n%s", code, out)
	}
	b.nodes[1].terminate()
	if code := b.nodes[1].exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	eventually(t, "the goodbye", func() bool {
		m := b.status(0).Members
		return len(m) == 1 && m[0].State == swim.Left
	})
}
