package config

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func TestRouterTimesAreComparedWithTheControllers(t *testing.T) {
	fits := DefaultRouter().Times()
	change := func(edit func(*RouterTimes)) RouterTimes {
		changed := fits
		edit(&changed)
		return changed
	}
	cases := map[string]struct {
		told      RouterTimes
		fields    []string
		noSession bool
		remedy    string
	}{
		"defaults":       {told: fits},
		"the longest":    {told: change(func(told *RouterTimes) { told.PingInterval = 800 * time.Millisecond / 3 })},
		"one lost ping":  {told: change(func(told *RouterTimes) { told.PingInterval = 300 * time.Millisecond }), fields: []string{"ping_interval"}, remedy: "900ms"},
		"no lease lasts": {told: change(func(told *RouterTimes) { told.PingInterval = 800 * time.Millisecond }), fields: []string{"ping_interval"}, noSession: true, remedy: "2.4s"},
		"an election":    {told: change(func(told *RouterTimes) { told.StalenessLimit = 700 * time.Millisecond }), fields: []string{"staleness_limit"}, remedy: "850ms"},
		"lifetimes": {told: change(func(told *RouterTimes) { told.RecordsLifetime = time.Hour }), fields: []string{"records.lifetime"},
			remedy: "10m0s"},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			others := []NamedTimes{{Router: "one", RouterTimes: example.told}, {Router: "two", RouterTimes: fits}}
			var fields []string
			for _, mismatch := range CheckRouterTimes(DefaultController(), NamedTimes{Router: "one", RouterTimes: example.told}, others) {
				fields = append(fields, mismatch.Field)
				text := mismatch.String()
				if mismatch.NoSession != example.noSession || !strings.Contains(text, "router one") || !strings.Contains(mismatch.Remedy, example.remedy) {
					t.Errorf("%s (no session: %t)", text, mismatch.NoSession)
				}
			}
			if !slices.Equal(fields, example.fields) {
				t.Errorf("problems of %v, want %v", fields, example.fields)
			}
		})
	}
}
