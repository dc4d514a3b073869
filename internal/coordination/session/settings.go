package session

import (
	"slices"
	"strings"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
)

// settingChange is a parameter change inside an open transaction.
type settingChange struct {
	name  string
	value string
	// reset is set when the parameter was reset, resetAll when all were.
	reset, resetAll bool
}

// ChangeSetting records that the client set a parameter. Within a transaction,
// the change takes effect when the transaction commits.
func (s *Session) ChangeSetting(name, value string) {
	s.recordChange(settingChange{name: strings.ToLower(name), value: value})
}

// ResetSetting records that the client reset a parameter.
func (s *Session) ResetSetting(name string) {
	s.recordChange(settingChange{name: strings.ToLower(name), reset: true})
}

// ResetAllSettings records that the client reset all parameters. Within a
// transaction, the change takes effect when the transaction commits.
func (s *Session) ResetAllSettings() {
	s.recordChange(settingChange{resetAll: true})
}

func (s *Session) recordChange(change settingChange) {
	if s.status == StatusIdle {
		s.settings = applyChange(s.settings, change)
		return
	}
	s.pendingChanges = append(s.pendingChanges, change)
}

// EndTransactionSettings applies the parameter changes of a transaction that
// has ended, or discards them if it did not commit.
func (s *Session) EndTransactionSettings(committed bool) {
	if committed {
		for _, change := range s.pendingChanges {
			s.settings = applyChange(s.settings, change)
		}
	}
	s.pendingChanges = nil
}

// ResetAll clears all parameters, as DISCARD ALL does.
func (s *Session) ResetAll() {
	s.settings = nil
	s.pendingChanges = nil
}

// applyChange returns the settings with a change applied. The result is a new
// slice, since requests in flight share the old one.
func applyChange(settings []execution.Setting, change settingChange) []execution.Setting {
	if change.resetAll {
		return slices.DeleteFunc(slices.Clone(settings), func(setting execution.Setting) bool {
			return !setting.SurvivesResetAll()
		})
	}
	settings = slices.DeleteFunc(slices.Clone(settings), func(setting execution.Setting) bool {
		return setting.Name == change.name
	})
	if change.reset {
		return settings
	}
	return append(settings, execution.Setting{Name: change.name, Value: change.value})
}
