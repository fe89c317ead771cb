//! Tests of the server table.

use super::*;
use crate::discovery::update::server_id;
use crate::servers::delays::AnsweredLine;
use serde_json::json;

fn update(snapshot: bool, servers: &[(&str, &str, &str)]) -> EndpointUpdate {
    let endpoint = |(name, address, status): &(&str, &str, &str)| json!({"name": name, "address": address, "status": status});
    let endpoints: Vec<_> = servers.iter().map(endpoint).collect();
    let list = json!({"snapshot": snapshot, "endpoints": endpoints});
    EndpointUpdate::from_list(&serde_json::from_value(list).expect("a list"), &NameIndex::default(), 100)
}

#[test]
fn a_list_determines_which_servers_are_ready_and_which_are_reachable() {
    let mut servers = ServerTable::default();
    let [a, b, c] = ["a", "b", "c"].map(server_id);
    let at = |port: u16| Some(SocketAddr::from(([127, 0, 0, 1], port)));
    let first = [("a", "127.0.0.1:1", "Ready"), ("b", "127.0.0.1:2", "Ready"), ("c", "nowhere", "Ready")];
    assert_eq!(servers.apply_list(update(true, &first), 3, |_| false).len(), 2, "c has no address");
    let changes = [("a", "127.0.0.1:3", "Terminating"), ("c", "127.0.0.1:4", "New")];
    servers.apply_list(update(false, &changes), 3, |_| false);
    assert_eq!([a, b, c].map(|s| servers.ready_address(s)), [None, at(2), None]);
    assert_eq!([a, b, c].map(|s| servers.address(s)), [at(3), at(2), at(4)]);
    // After a snapshot without servers only the server in use is still reachable.
    servers.apply_list(update(true, &[]), 3, |s| s == b);
    assert_eq!([a, b, c].map(|s| servers.address(s)), [None, at(2), None]);
    assert_eq!((servers.ready_address(b), servers.name(Some(b)), servers.name(Some(a))), (None, "b", "?"));
}

#[test]
fn a_snapshot_replaces_all_servers_and_changes_are_limited() {
    let name = |n: usize| (format!("s-{n}"), "127.0.0.1:1", "Ready");
    let list = |snapshot, range: std::ops::Range<usize>| {
        let names: Vec<_> = range.map(name).collect();
        let servers: Vec<_> = names.iter().map(|(n, a, s)| (n.as_str(), *a, *s)).collect();
        update(snapshot, &servers)
    };
    let mut servers = ServerTable::default();
    servers.apply_list(list(true, 0..90), 90, |_| false);
    let received = servers.apply_list(list(true, 100..190), 90, |_| false);
    assert_eq!((received.len(), servers.table.len(), servers.removed.len()), (90, 90, 0));
    let received = servers.apply_list(list(false, 188..195), 90, |_| false);
    assert_eq!(
        (received.len(), servers.table.len(), servers.is_over_limit),
        (2, 90, true),
        "two servers are in the table, five are over the limit"
    );
    let received = servers.apply_list(list(true, 100..250), 100, |_| false);
    assert_eq!(
        (received.len(), servers.is_over_limit),
        (100, true),
        "a snapshot is not limited by the size of the table"
    );
    servers.apply_list(list(true, 100..110), 100, |_| false);
    assert!(!servers.is_over_limit);
}

#[test]
fn a_slow_server_is_reported_and_once_more_when_it_is_no_longer_slow() {
    let (mut servers, a) = (ServerTable::default(), server_id("a"));
    servers.apply_list(update(true, &[("a", "127.0.0.1:1", "Ready")]), 3, |_| false);
    let samples = |now, delay| -> BTreeMap<ServerId, Vec<DelaySample>> {
        let last_answer = Some(AnsweredLine { at: now, delay });
        [(a, vec![DelaySample { unanswered_since: None, last_answer }])].into()
    };
    let mut report = |now, delay| servers.delay_reports(now, 100, &samples(now, delay));
    assert_eq!(report(0, 50), []);
    assert_eq!(report(1, 500), [DelayReport { server: a, delay: 500 }]);
    assert_eq!(report(2, 60), [DelayReport { server: a, delay: 60 }]);
    assert_eq!(report(3, 60), []);
    assert_eq!(servers.classify_load(4, a, 900.0), LoadFigure::Delay);
    let reports = servers.delay_reports(5, 100, &samples(5, 500));
    assert_eq!(reports, [], "the delay that the server reports takes precedence");
}

#[test]
fn a_start_time_survives_a_step_of_the_wall_clock_and_is_exported_as_listed() {
    let mut servers = ServerTable::default();
    let list = |since_ms: f64| {
        let server = json!({"name": "a", "address": "127.0.0.1:1", "status": "Ready", "since_ms": since_ms});
        let list = json!({"snapshot": true, "endpoints": [server]});
        EndpointUpdate::from_list(&serde_json::from_value(list).expect("a list"), &NameIndex::default(), 100)
    };
    let start = |received: Vec<ServerEntry>| received[0].started_at;
    assert_eq!(start(servers.apply_list(list(10_000_000.0), 3, |_| false)), 10_000.0);
    // 100 s later, the wall clock has been stepped back by an hour: the same start time keeps its converted value.
    servers.set_wall_clock(WallClock::at(10_100.0, 6_500.0));
    assert_eq!(start(servers.apply_list(list(10_000_000.0), 3, |_| false)), 10_000.0);
    // The server restarts 90 s after the first start.
    assert_eq!(start(servers.apply_list(list(6_490_000.0), 3, |_| false)), 10_090.0);
    assert_eq!(servers.endpoints(&NameIndex::default())[0].since_ms, 6_490_000.0);
    // A time that is in the future with and without the step is replaced by the current time.
    assert_eq!(start(servers.apply_list(list(99_000_000.0), 3, |_| false)), 10_100.0);
    // The wall clock has been stepped forward: of the times recorded before or after the step the later possible one counts.
    servers.set_wall_clock(WallClock::at(10_200.0, 13_800.0));
    assert_eq!(start(servers.apply_list(list(13_790_000.0), 3, |_| false)), 10_190.0);
    assert_eq!(start(servers.apply_list(list(0.0), 3, |_| false)), 0.0, "long ago");
}
