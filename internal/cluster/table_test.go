package cluster

import "testing"

// Operators and their scripts read the tables, so their format must not change. The files contain the output of a released version,
// except that the header of the classes is now directly above them; a line on failing attempts used to be in between.
func TestTablesMatchReleasedVersion(t *testing.T) {
	noOverload := *fullStatus.Overload
	noOverload.Active = false
	for file, got := range map[string]string{
		"members.txt":       membersTable(fullStatus),
		"overload.txt":      overloadTable(fullStatus.Overload),
		"overload_calm.txt": overloadTable(&noOverload),
	} {
		if want := string(readTestdata(t, file)); got != want {
			t.Errorf("%s: got\n%swant\n%s", file, got, want)
		}
	}
}
