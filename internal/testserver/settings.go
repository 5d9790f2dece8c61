package testserver

// SettingsTemplate is the format of the platform's settings in all tests, as JSON: two shards at one ring position, both of
// which every store has. Its arguments are the classes, the maximum number of open queries and the idle timeout of
// connections to stores in microseconds.
const SettingsTemplate = `{"my_number":0,"fleet_size":1,"tick_us":5000,"dcs":["a"],
 "family_info":{"slices":2,"cells":1,"reach":1,"batch":1,"need_by_class":[1,1,1],"least_share":[1,0.5,1]},
 "grades":[%s],
 "guarantees":{"answer_slack_us":20000,"drain_grace_us":500000},
 "permissions":{"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after_us":2000000,
  "max_attempts":4,"max_open":%d,"max_streams":32,"conn_idle_us":%d,"connect_timeout_us":250000}}`

// Classes for SettingsTemplate.
const (
	LookupClass = `{"name":"lookup","effect":"read_like","promise_us":600000,"give_up_us":2000000,"gain":1}`
	ReportClass = `{"name":"report","effect":"read_like","promise_us":600000,"give_up_us":2000000,"gain":5}`
	SaveClass   = `{"name":"save","effect":"idempotency_key","window_us":3000000,"promise_us":600000,"give_up_us":2000000,"gain":1}`
)
