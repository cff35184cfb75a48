package cluster

import "testing"

// The tables are read by operators and their scripts; the files hold what a released version printed, but that the header of the classes
// stands right above them now, where a line on failing attempts had come between.
func TestTablesAreThoseOfReleasedVersions(t *testing.T) {
	calm := *wireStatus.Overload
	calm.Active = false
	for file, got := range map[string]string{
		"members.txt":       membersTable(wireStatus),
		"overload.txt":      overloadTable(wireStatus.Overload),
		"overload_calm.txt": overloadTable(&calm),
	} {
		if want := string(recorded(t, file)); got != want {
			t.Errorf("%s: printed\n%swant\n%s", file, got, want)
		}
	}
}
