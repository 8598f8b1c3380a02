package ids

// GroupID names one replicated group. Group 1 carries the settings tree and,
// today, the whole ledger.
type GroupID uint32

// SettingsGroup is the group that carries the settings tree and sessions.
const SettingsGroup GroupID = 1
