package configpos

import "testing"

func TestLineOfJSONAndTOMLKeys(t *testing.T) {
	jsonText := "{\n \"a\": 1,\n \"b\": {\"c\": [\n   1,\n   {\"d\": 2}\n ]},\n \"e\": \"x\\n\\\"y\\\": 3\"\n}"
	tomlText := "top = 1\n[a]\nb = \"\"\"\nc = 3\n\"\"\"\n\"q.d\" = [\n  \"x = 1\",\n  'y # no comment',\n]\ne.f = { g = 1 } # h = 2\n" +
		"[[list]]\nname = \"one\"\n[[list]]\nname = \"two\"\n[a.deep]\nz = 'it''s'\n"
	for _, c := range []struct {
		lines Lines
		key   string
		want  int
	}{
		{JSON([]byte(jsonText)), "a", 2},
		{JSON([]byte(jsonText)), "b.c", 3},
		{JSON([]byte(jsonText)), "b.c[0]", 4},
		{JSON([]byte(jsonText)), "b.c[1].d", 5},
		{JSON([]byte(jsonText)), "b.c[1].missing", 5},
		{JSON([]byte(jsonText)), "e", 7},
		{JSON([]byte(jsonText)), "y", 0},
		{JSON([]byte("{\n\"a\": [1,\n")), "a[0]", 2},
		{TOML(tomlText), "top", 1},
		{TOML(tomlText), "a", 2},
		{TOML(tomlText), "a.b", 3},
		{TOML(tomlText), "a.c", 2}, // part of a string and not a key, so the line of its table
		{TOML(tomlText), "a.q.d", 6},
		{TOML(tomlText), "a.e.f", 10},
		{TOML(tomlText), "list[0].name", 12},
		{TOML(tomlText), "list[1].name", 14},
		{TOML(tomlText), "a.deep.z", 16},
		{TOML(tomlText), "none", 0},
	} {
		if got := c.lines.Line(c.key); got != c.want {
			t.Errorf("Line(%q) = %d, want %d", c.key, got, c.want)
		}
	}
}

func FuzzTOML(f *testing.F) {
	f.Add("a = \"\"\"\n[x]\n")
	f.Add("\"=\n'\\")
	f.Fuzz(func(t *testing.T, text string) {
		for key, line := range TOML(text) {
			if line < 1 {
				t.Errorf("line of key %q = %d, want at least 1", key, line)
			}
		}
		JSON([]byte(text))
	})
}
