#!/usr/bin/env bash
# Extrapolates the figures of program capacity (a JSON file) to the target of
# docs/design.md, section 1.5, and prints the table of docs/CAPACITY.md.
set -euo pipefail
json=${1:?usage: scripts/capacity_table.sh FILE}

# The JSON has one member a line (figure_list::Json).
sed -n 's/^ *"\(name\|value\)": "\{0,1\}\([^",]*\)"\{0,1\},$/\1 \2/p' "$json" |
  awk '
$1 == "name" { name = $2 }
$1 == "value" { v[name] = $2 }

function need(name) {
  if (!(name in v)) {
    print "capacity_table: no figure " name > "/dev/stderr"
    missing = 1
  }
  return v[name]
}

function format_value(x) {
  return x >= 100 ? sprintf("%.0f", x) : sprintf("%.3g", x)
}

# One row; a limit of 0 is no limit.
function row(role, what, value, unit, limit) {
  verdict = limit == 0 ? "" : (value <= limit ? "met" : "NOT MET")
  printf "| %s | %s | %s | %s | %s | %s |\n", role, what, format_value(value),
    unit, limit == 0 ? "" : limit, verdict
}

END {
  # Target.
  nodes = 4700; databases = 16000; groups = 5334; connections = 37e6
  statements = 53e6; edits = 13000; changes = 36; failures = 84
  replacements = 4400; day = 86400
  cpu_limit = 14; memory_limit = 64; byte_limit = 4; failover_limit = 9
  spread_limit = 8; read_limit = 2000; write_limit = 300
  edit_rate = edits / day
  members = databases / nodes
  reports = need("gateway.reports@3")
  report_bytes = need("gateway.report_bytes@3")
  views = need("membership.churn_views@4700")

  print "| role | what | at the target | unit | limit | |"
  print "| --- | --- | --- | --- | --- | --- |"

  # Membership.
  m_cpu = (need("membership.churn_cpu@4700") + \
           need("membership.churn_codec_cpu@4700")) / 1000
  m_bytes = (need("membership.churn_bytes_sent@4700") + \
             need("membership.churn_bytes_received@4700")) / 1000
  m_state = need("membership.churn_state@4700") / 1e6
  row("membership", "state a node", m_state, "MB", memory_limit)
  row("membership", "messages sent a node", \
      need("membership.churn_messages_sent@4700"), "1/s", 0)
  row("membership", "processor a node, protocol and codec", m_cpu, "ms/s", \
      cpu_limit)
  row("membership", "bytes sent and received a node", m_bytes, "KB/s", \
      byte_limit)
  row("membership", "bytes in the two hours after a start", \
      (need("membership.joined_bytes_sent@4700") + \
       need("membership.joined_bytes_received@4700")) / 1000, "KB/s", byte_limit)
  row("membership", "new VM knows 99 % of the fleet", \
      need("membership.join_99@4700"), "s", spread_limit)
  row("membership", "views published a node", views, "1/s", 0)
  row("membership", "the platform'\''s list, read every 2 s", \
      need("vm_list.bytes") / 2 / 1000, "KB/s", byte_limit)
  row("membership", "decoding the platform'\''s list every 2 s", \
      need("vm_list.decode") / 2 / 1000, "ms/s", cpu_limit)

  # Configuration.
  c_state = need("configuration.follower_state") / 1e6
  c_change = need("configuration.apply_edit") + \
    need("placement.gateway_configuration_change@4700") + \
    need("control.configuration_change@4700") + \
    need("placement.entry_configuration_change@4700")
  row("configuration", "state a node, rows and version in force", c_state, \
      "MB", memory_limit)
  row("configuration", "state a node while versions change", \
      c_state + need("configuration.copy_state") / 1e6, "MB", memory_limit)
  row("configuration", "processor a node, store thread: copy and check", \
      need("configuration.apply_edit") * edit_rate / 1000, "ms/s", cpu_limit)
  row("configuration", "processor a node, all threads, " edits " edits a day", \
      c_change * edit_rate / 1000, "ms/s", cpu_limit)
  row("configuration", "processor time until the last thread has applied", \
      (need("configuration.apply_edit") + \
       need("placement.gateway_configuration_change@4700")) / 1e6, "s", \
      spread_limit)
  row("configuration", "whole load by a starting node", \
      need("store.load_bytes") / 1e6, "MB", 0)
  row("configuration", "memory of the load: text, answer, decoded rows", \
      (need("store.load_bytes") + need("store.load_state") + \
       need("configuration.follower_state")) / 1e6, "MB", memory_limit)
  row("configuration", "same load through " byte_limit " KB/s", \
      need("store.load_bytes") / 1000 / byte_limit, "s", spread_limit)
  row("configuration", "loads of " replacements + failures \
      " new VMs a day, from the service", \
      need("store.load_bytes") * (replacements + failures) / day / 1e6, \
      "MB/s", 0)
  row("configuration", "watch messages from the service", edit_rate * nodes, \
      "1/s", 0)

  # Placement on a change of the fleet.
  f_change = need("placement.gateway_fleet_change@4700") + \
    need("control.fleet_change@4700") + \
    need("placement.entry_fleet_change@4700")
  row("placement", "gateway thread stalled by one change of the fleet", \
      need("placement.gateway_fleet_change@4700") / 1000, "ms", 0)
  row("placement", "gateway thread stalled by one edit", \
      need("placement.gateway_configuration_change@4700") / 1000, "ms", 0)
  row("placement", "processor a node, gateway, control and entry, churn", \
      f_change * views / 1000, "ms/s", cpu_limit)
  row("placement", "entry: same on demand if all groups are used", \
      (need("entry.interest_tick_after_fleet_change") - \
       need("entry.interest_tick")) * views / 1000, "ms/s", cpu_limit)

  # Entry. The configuration itself is counted above.
  e_state = (need("entry.configured_state") - \
             need("configuration.copy_state")) / 1e6
  row("entry", "processor for statements a node, all reads", \
      need("entry.exchange_read") * statements / nodes / 1000, "ms/s", 0)
  row("entry", "state a node, all groups used", \
      need("entry.all_groups_state") / 1e6, "MB", memory_limit)
  row("entry", "state a node: view, token buckets, index of pools", \
      e_state, "MB", memory_limit)
  row("entry", "state a node, 8,192 requests in flight", \
      need("entry.in_flight_state") * 8192 / 1e6, "MB", 0)
  row("entry", "reports received a node, all groups used", \
      databases * reports, "1/s", 0)
  row("entry", "same in bytes", databases * reports * report_bytes / 1000, \
      "KB/s", byte_limit)
  row("entry", "processor a node for these reports", databases * reports * \
      (need("entry.report_decode") + need("entry.report")) / 1000, "ms/s", \
      cpu_limit)
  row("control thread", "processor a node for the same reports", \
      databases * reports * need("control.first_report@4700") / 1000, "ms/s", \
      cpu_limit)
  row("entry", "groups used that 4 KB/s carries", \
      byte_limit * 1000 / (3 * reports * report_bytes), "groups", 0)
  row("entry", "interest sent a node, all groups used", \
      nodes, "1/s", 0)
  row("entry", "interest, processor a node each second", \
      need("entry.interest_tick") / 1000, "ms/s", cpu_limit)

  # Gateway.
  row("gateway", "members owned a node", members, "members", 0)
  row("gateway", "processor for statements a node, all reads", \
      need("gateway.read") * statements / nodes / 1000, "ms/s", 0)
  row("gateway", "state a node for members owned", \
      need("gateway.member_state@3") * members / 1e6, "MB", memory_limit)
  row("gateway", "processor a node for status polls", \
      need("gateway.member_cpu@3") * members / 1000, "ms/s", cpu_limit)
  row("gateway", "reports sent a node, all VMs interested", \
      members * nodes * reports, "1/s", 0)
  row("gateway", "same in bytes", members * nodes * reports * report_bytes / \
      1000, "KB/s", byte_limit)
  row("gateway", "processor a node for these reports, without the transport", \
      members * nodes * reports * (need("gateway.report_cpu@3") + \
      need("gateway.report_encode")) / 1000, "ms/s", cpu_limit)

  row("gateway", "sending thread'\''s processor for these reports, with nng", \
      members * nodes * reports * need("links.send") / 1000, "ms/s", cpu_limit)

  # Links. One that is idle for 60 s is closed.
  l_member = need("membership.churn_messages_sent@4700") * 60
  row("links", "open for membership alone", l_member, "links", 0)
  row("links", "memory for membership alone", \
      l_member * need("links.resident") / 1e6, "MB", memory_limit)
  row("links", "memory, one to each VM and one from each", \
      nodes * need("links.resident") / 1e6, "MB", memory_limit)

  # Coordinator and control thread.
  row("coordinator", "groups watched a node", groups / nodes, "groups", 0)
  row("coordinator", "state a node", \
      need("coordinator.state") * groups / nodes / 1e6, "MB", memory_limit)
  row("coordinator", "processor a node", \
      need("coordinator.cpu") * groups / nodes / 1000, "ms/s", cpu_limit)
  row("coordinator", "changes of primary", changes / day, "1/s", 0)
  row("control thread", "processor a node, quiet, no reports known", \
      need("control.quiet_cpu@4700") / 1000, "ms/s", cpu_limit)
  row("control thread", "processor a node, quiet, all members known", \
      need("control.reports_known_cpu@4700") / 1000, "ms/s", cpu_limit)
  row("control thread", "state a node, reports of all members", \
      need("control.report_state@4700") * databases / 1e6, "MB", memory_limit)

  # Service.
  row("key-value service", "version reads, 1 a second a node", nodes, "1/s", \
      read_limit)
  row("key-value service", "pending watches and version reads", 2 * nodes, \
      "calls", read_limit)
  row("key-value service", "loads of new VMs, 1 call each", \
      (replacements + failures) / day, "1/s", read_limit)
  row("key-value service", "writes: edits, 1 transaction each", edit_rate, \
      "1/s", write_limit)

  # Caller connections.
  row("caller connections", "open a node", connections / nodes, \
      "connections", 0)
  row("caller connections", "resident memory each", \
      need("connections.idle_resident") / 1000, "KB", 16)
  row("caller connections", "resident memory a node", \
      need("connections.idle_resident") * connections / nodes / 1e6, "MB", 0)

  # Loss of one of seven zones. Each death is told twice, as suspect and dead,
  # and a message carries up to six changed records.
  zone = nodes / 7
  row("one zone lost", "VMs", zone, "VMs", 0)
  row("one zone lost", "least time in which gossip names all of them", \
      2 * zone / 6 / need("membership.churn_messages_received@4700"), "s", \
      failover_limit)
  row("one zone lost", "gateway thread, one view for each death", \
      zone * need("placement.gateway_fleet_change@4700") / 1e6, "s", \
      failover_limit)
  row("one zone lost", "primaries to replace", groups / 7, "groups", 0)
  row("one zone lost", "failovers for each coordinating VM", \
      groups / 7 / (nodes - zone), "groups", 0)

  # Sums for control work on a node. Statements and caller connections are not
  # control work.
  memory = m_state + c_state + need("configuration.copy_state") / 1e6 + \
    e_state + need("entry.all_groups_state") / 1e6 + \
    need("gateway.member_state@3") * members / 1e6 + \
    need("coordinator.state") * groups / nodes / 1e6 + \
    need("control.report_state@4700") * databases / 1e6 + \
    nodes * need("links.resident") / 1e6
  cpu = c_change * edit_rate / 1000 + f_change * views / 1000 + \
    (need("control.reports_known_cpu@4700") + \
     need("coordinator.cpu") * groups / nodes + \
     need("membership.churn_codec_cpu@4700") + \
     need("gateway.member_cpu@3") * members + need("vm_list.decode") / 2 + \
     need("entry.interest_tick")) / 1000 + \
    (need("entry.interest_tick_after_fleet_change") - \
     need("entry.interest_tick")) * views / 1000 + \
    databases * reports * (need("entry.report_decode") + \
                           need("entry.report") + \
                           need("control.first_report@4700")) / 1000 + \
    members * nodes * reports * (need("gateway.report_cpu@3") + \
                                 need("links.send")) / 1000
  bytes = m_bytes + need("vm_list.bytes") / 2000 + \
    (databases + members * nodes) * reports * report_bytes / 1000
  row("all control work", "memory a node, all groups used", memory, "MB", \
      memory_limit)
  row("all control work", "processor a node, all groups used", cpu, "ms/s", \
      cpu_limit)
  row("all control work", "bytes a node, all groups used", bytes, "KB/s", \
      byte_limit)
  exit missing
}'
