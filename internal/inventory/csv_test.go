package inventory

import (
	"reflect"
	"testing"
)

const goodCSV = "\xef\xbb\xbfpod,id,address,rack,size,phase,tags,zone\r\n" +
	"# the first hall\r\n" +
	"7,s1,10.0.0.1:80,\"r \"\"1\"\", left\",2.5,active,ssd;big,a\r\n" +
	"8,no,10.0.0.2:80,,,drain,,b\r\n" +
	"8,0123,\"[fd00::1]:80\",r3,1,,,b\r\n" +
	"# end 3\r\n"

func wantCSV() []Server {
	return []Server{
		{ID: "s1", Address: "10.0.0.1:80", Zone: "a", Pod: "7", Size: 2.5, Phase: Serving, Tags: []string{"ssd", "big"}, Extra: map[string]string{"rack": `r "1", left`}},
		{ID: "no", Address: "10.0.0.2:80", Zone: "b", Pod: "8", Phase: Draining, Tags: []string{}, Extra: map[string]string{"rack": ""}},
		{ID: "0123", Address: "[fd00::1]:80", Zone: "b", Pod: "8", Size: 1, Phase: Serving, Tags: []string{}, Extra: map[string]string{"rack": "r3"}},
	}
}

func TestParseCSV(t *testing.T) {
	got, err := ParseCSV("x.csv", []byte(goodCSV), Options{Trailer: true, MinRows: 3})
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Servers, wantCSV()) {
		t.Errorf("servers = %+v\nwant      %+v", got.Servers, wantCSV())
	}
}

func FuzzCSV(f *testing.F) {
	f.Add([]byte(goodCSV))
	f.Fuzz(func(t *testing.T, raw []byte) { checkParseResult(t, "a.csv", raw) })
}
