# Defines rules_json, which prints the classes, rules and targets of the published
# configuration. The sourcing script adds upstreams and accounts.
# shellcheck shell=bash

rules_json() {
	cat <<-JSON
		{"classes":[
		{"name":"live-chat","tier":5,"first_token_ms":320,"between_tokens_ms":73,"deadline_ms":20000,"floor":{"starts":1,"interval_ms":5000}},
		{"name":"claim","tier":5,"deadline_ms":3000,"floor":{"starts":1,"interval_ms":1000}},
		{"name":"status","tier":3,"deadline_ms":5000,"floor":{"starts":1,"interval_ms":2000}},
		{"name":"summary","tier":3,"first_token_ms":1000,"between_tokens_ms":120,"deadline_ms":30000,"floor":{"starts":1,"interval_ms":5000}},
		{"name":"draft","tier":1,"deadline_ms":60000,"floor":{"starts":1,"interval_ms":10000},"preemptible":true}],
		"rules":[
		{"name":"claims","when":"service == \"queue\" && !repeatable","class":"claim","target":"queue"},
		{"name":"statuses","when":"service == \"queue\"","class":"status","target":"queue"},
		{"name":"summaries","when":"kind == \"chat\" && headers[\"x-task\"] == \"summary\"","class":"summary","target":"engines"},
		{"name":"drafts","when":"kind == \"chat\" && headers[\"x-task\"] == \"draft\"","class":"draft","target":"engines"},
		{"name":"chats","when":"kind == \"chat\"","class":"live-chat","target":"engines"}],
		"targets":[
		{"name":"engines","kind":"engine","model":"demo-model"},
		{"name":"queue","kind":"service","service":"queue"}],
	JSON
}
