package target

import (
	"errors"
	"net/url"
	"slices"
	"strings"
	"testing"
)

// A target that was decoded before it was cut reached another object: an encoded slash became a separator, empty segments and dot segments
// were dropped, + became a space and a name without a value got an equals sign.
func TestParseCutsBeforeItDecodes(t *testing.T) {
	for text, want := range map[string]Options{
		"/get-cover/a%2Fb":     {Path: []string{"get-cover", "a/b"}},
		"/get-cover/a%2fb":     {Path: []string{"get-cover", "a/b"}},
		"/get-cover/a//b":      {Path: []string{"get-cover", "a", "", "b"}},
		"/get-cover/a/":        {Path: []string{"get-cover", "a", ""}},
		"/c?x=1+2":             {Path: []string{"c"}, Queries: []string{"x=1+2"}},
		"/c?y":                 {Path: []string{"c"}, Queries: []string{"y"}},
		"/c?":                  {Path: []string{"c"}, Queries: []string{""}},
		"/c?a&&b":              {Path: []string{"c"}, Queries: []string{"a", "", "b"}},
		"/c?x=a%26b&x=a&x=%2B": {Path: []string{"c"}, Queries: []string{"x=a&b", "x=a", "x=+"}},
		// Sound neighbours, which were right before as well.
		"/c":               {Path: []string{"c"}},
		"/":                {},
		"/c/a..":           {Path: []string{"c", "a.."}},
		"/c/...":           {Path: []string{"c", "..."}},
		"/c/a+b;c,d":       {Path: []string{"c", "a+b;c,d"}},
		"/c/%3F%25%2525":   {Path: []string{"c", "?%%25"}},
		"/c/%C3%A9":        {Path: []string{"c", "é"}},
		"/c?y=&z=1=2&q=/?": {Path: []string{"c"}, Queries: []string{"y=", "z=1=2", "q=/?"}},
		"/c/" + strings.Repeat("a", MaxOptionBytes): {Path: []string{"c", strings.Repeat("a", MaxOptionBytes)}},
	} {
		got, err := Parse([]byte(text))
		if err != nil || !slices.Equal(got.Path, want.Path) || !slices.Equal(got.Queries, want.Queries) {
			t.Errorf("Parse(%q) = %q, error %v, want %q", text, got, err, want)
		}
	}
}

// A target without an equivalent was sent to another object, or with an option that the standard does not permit.
func TestParseRefusesWhatOptionsCannotExpress(t *testing.T) {
	long := strings.Repeat("a", MaxOptionBytes+1)
	for text, want := range map[string]error{
		"/c/a/../b": ErrDotSegment, "/c/./b": ErrDotSegment, "/c/%2e%2E/b": ErrDotSegment, "/c/.%2e": ErrDotSegment,
		"/c/" + long: ErrOptionLength, "/c?" + long: ErrOptionLength,
		"/c/%": ErrEscape, "/c/%4": ErrEscape, "/c/%zz": ErrEscape, "/c?x=%g0": ErrEscape,
		"/c/%ff": ErrNotUTF8, "/c?%C3": ErrNotUTF8, "/c#f": ErrFragment, "/c?x#f": ErrFragment,
		"": ErrForm, "c": ErrForm, "*": ErrForm, "http://h/c": ErrForm,
	} {
		if got, err := Parse([]byte(text)); !errors.Is(err, want) {
			t.Errorf("Parse(%q) = %q, error %v, want error %v", text, got, err, want)
		}
	}
}

// A device's values were encoded as an HTML form: a space became +, which reached a server as a plus sign.
func TestStringEncodesEachValueByItself(t *testing.T) {
	for want, o := range map[string]Options{
		"/":                        {},
		"/c/a%2Fb//%25":            {Path: []string{"c", "a/b", "", "%"}},
		"/c/;,:@&=+$?x=1%202&y&z=": {Path: []string{"c", ";,:@&=+$"}, Queries: []string{"x=1 2", "y", "z="}},
		"/c?a%26b=c&a+b/?%23&":     {Path: []string{"c"}, Queries: []string{"a&b=c", "a+b/?#", ""}},
		"/%C3%A9":                  {Path: []string{"é"}},
	} {
		if got := o.String(); got != want {
			t.Errorf("%q.String() = %q, want %q", o, got, want)
		}
	}
}

// FuzzTarget checks that any target is refused, or is the same target after its conversion to options and back.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"/get-cover/a%2Fb?x=1+2&&y", "/a//b/", "/%2e%2e/b", "/a?", "/%zz", "/é?%C3%A9", "/a\x00b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		options, err := Parse([]byte(text))
		if err != nil {
			return
		}
		again, err := Parse([]byte(options.String()))
		if err != nil || !slices.Equal(again.Path, options.Path) || !slices.Equal(again.Queries, options.Queries) {
			t.Fatalf("%q is %q, which becomes %q and then %q, error %v", text, options, options.String(), again, err)
		}
		if got, want := normalise(options.String()), normalise(text); got != want {
			t.Fatalf("%q becomes %q, want an equivalent of %q", text, got, want)
		}
	})
}

// normalise returns a target with all its bytes percent-encoded except the separators that it is cut at, so that targets that differ only
// in which other bytes they encode are equal.
func normalise(text string) string {
	path, query, hasQuery := strings.Cut(text, "?")
	encodeAll := func(part, separator string) string {
		var out strings.Builder
		for i, value := range strings.Split(part, separator) {
			if i > 0 {
				out.WriteString(separator)
			}
			decoded, _ := url.PathUnescape(value)
			appendEncoded(&out, decoded, func(byte) bool { return false })
		}
		return out.String()
	}
	normalised := encodeAll(path, "/")
	if hasQuery {
		normalised += "?" + encodeAll(query, "&")
	}
	return normalised
}
