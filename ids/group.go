package ids

// GroupID identifies a replicated group.
type GroupID uint32

// SettingsGroup is the group that replicates the settings tree and the sessions.
// It currently replicates the whole ledger, too.
const SettingsGroup GroupID = 1
