//! The endpoint list where the settings say that it is pushed: the balancer keeps a watch open of its own accord, since a change
//! counts as received whether or not a watch is open.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::operators::with_operator_address;
use crate::{BINARY, start};

/// The time for which requests may be sent to a server after its drain counts as received, as in the configuration of
/// [`pushed_config`].
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// The time after which a change counts as received that a silent watch has missed.
const SILENT_WATCH_LIMIT: Duration = Duration::from_secs(6);

/// Ends a watch at the side of the service.
type EndWatch = fn(Watch);

/// A configuration with a pushed endpoint list.
fn pushed_config(servers: &[&Server], discovery: &DiscoveryService) -> Value {
    let names = ["s-1", "s-2"];
    let servers: Vec<_> =
        names.into_iter().zip(servers).map(|(name, server)| (name, server.address())).collect();
    let mut config = config_with_discovery(&servers, discovery);
    config["settings"]["registry_mode"] = json!("push");
    config["settings"]["rules"]["drain_grace_s"] = json!(DRAIN_GRACE.as_secs_f64());
    config
}

/// Reports a drain on a watch, and checks that the connected client migrates and that the next one is served elsewhere.
#[track_caller]
fn assert_drain_is_applied(
    program: &BalancerProcess,
    watch: &mut Watch,
    draining: &Server,
    client: &mut Connection,
    other: &Server,
) {
    watch.send_list(42, false, vec![endpoint("s-1", draining.address(), "Terminating")]);
    assert_eq!(client.receive_line(), "MOVE");
    watch.send_list(43, false, vec![endpoint("s-2", other.address(), "Ready")]);
    let _other = program.establish(other);
}

/// Guards against requests to draining servers for the whole life of the process, since no watch was ever opened where lists are
/// pushed.
#[test]
fn a_drain_is_received_where_lists_are_pushed() {
    let (servers, discovery) = ([Server::new(), Server::new()], DiscoveryService::new());
    let program = start(&pushed_config(&[&servers[0]], &discovery));
    let mut watch = discovery.accept_watch();
    assert_eq!(watch.since(), 41);
    let (mut client, _upstream) = program.establish(&servers[0]);
    assert_drain_is_applied(&program, &mut watch, &servers[0], &mut client, &servers[1]);
    assert!(!discovery.has_pending_connection(), "a second watch beside the first");
}

/// Guards against a pushed list that is lost with the watch: each end of a watch must lead to another within the grace period.
#[test]
fn a_pushed_list_is_watched_again_however_its_watch_ends() {
    let discovery = DiscoveryService::new();
    let _program = start(&pushed_config(&[], &discovery));
    let ends: [(&str, EndWatch); 5] = [
        ("the service ends the response", |mut watch| watch.end()),
        ("the service closes the connection", drop),
        ("the service resets the connection", Watch::reset),
        ("the service answers with an error", |mut watch| watch.send_error("503 Busy")),
        ("the list is invalid", |mut watch| watch.send_text("{\"index\":x}\n")),
    ];
    let mut watch = discovery.accept_watch();
    for (how, end) in ends {
        let ended_at = Instant::now();
        end(watch);
        watch = discovery.accept_watch();
        assert!(ended_at.elapsed() < DRAIN_GRACE, "{how}: watched again after {:?}", ended_at.elapsed());
        assert_eq!(watch.since(), 41, "{how}");
    }
}

/// Guards against a process that gives up on a discovery service that is down for longer than at its start.
#[test]
fn a_pushed_list_is_watched_again_once_the_service_returns_from_an_outage() {
    let (server, address) = (Server::new(), stable_address());
    let mut settings = pushed_config(&[&server], &DiscoveryService::new());
    settings["discovery"] = json!(address);
    let program = start(&settings);
    program.wait_for_log("discovery-failed");
    for _ in 0..8 {
        program.wait_for_log("watch-opened");
    }
    let discovery = DiscoveryService::at(address);
    let returned_at = Instant::now();
    let mut watch = discovery.accept_watch();
    assert!(returned_at.elapsed() < DRAIN_GRACE, "watched again after {:?}", returned_at.elapsed());
    let (mut client, _upstream) = program.establish(&server);
    assert_drain_is_applied(&program, &mut watch, &server, &mut client, &Server::new());
}

/// Guards against a watch that falls silent while its connection stays open.
#[test]
fn a_silent_watch_of_a_pushed_list_is_replaced_in_time() {
    let discovery = DiscoveryService::new();
    let _program = start(&pushed_config(&[], &discovery));
    let mut silent = discovery.accept_watch();
    silent.send_blank_line();
    let silent_since = Instant::now();
    assert_eq!(discovery.accept_watch().since(), 41);
    assert!(silent_since.elapsed() < SILENT_WATCH_LIMIT, "after {:?}", silent_since.elapsed());
}

/// Guards against a reload after which the old address of the service is watched, or none.
#[test]
fn a_pushed_list_is_watched_at_the_address_of_a_reload() {
    let (server, [old, new]) = (Server::new(), [DiscoveryService::new(), DiscoveryService::new()]);
    let mut settings = pushed_config(&[&server], &old);
    let program = start(&settings);
    let _watch = old.accept_watch();
    let (mut client, _upstream) = program.establish(&server);
    settings["discovery"] = json!(new.address());
    program.reconfigure(&settings.to_string());
    let mut watch = new.accept_watch();
    assert_drain_is_applied(&program, &mut watch, &server, &mut client, &Server::new());
}

/// Guards against a reload to a pushed list before the first poll, after which nothing would open a watch.
#[test]
fn a_reload_from_polling_to_a_pushed_list_opens_a_watch() {
    let discovery = DiscoveryService::new();
    let mut settings = pushed_config(&[], &discovery);
    settings["settings"]["registry_mode"] = json!("ask");
    // The first poll is made up to 3 s after the start.
    settings["settings"]["rules"]["ask_within_s"] = json!(10.0);
    let program = start(&settings);
    settings["settings"]["registry_mode"] = json!("push");
    program.reconfigure(&settings.to_string());
    let reloaded_at = Instant::now();
    drop(discovery.accept_watch());
    assert!(reloaded_at.elapsed() < DRAIN_GRACE, "watched after {:?}", reloaded_at.elapsed());
    // Back to polling, the driver requests the next watch after the end of this one.
    let watch = discovery.accept_watch();
    settings["settings"]["registry_mode"] = json!("ask");
    program.reconfigure(&settings.to_string());
    program.wait_for_log("event=reloaded");
    program.wait_for_log("event=reloaded");
    drop(watch);
    discovery.accept_watch();
}

/// Guards against a new process that relies on the list of the process that it replaces.
#[test]
fn a_replaced_process_and_its_successor_each_watch_a_pushed_list() {
    let (server, discovery) = (Server::new(), DiscoveryService::new());
    let mut settings = with_operator_address(pushed_config(&[&server], &discovery));
    let mut old = start(&settings);
    let _old_watch = discovery.accept_watch();
    settings["listen"] = json!(old.address());
    let new = old.start_sibling(BINARY, &settings);
    let mut watch = discovery.accept_watch();
    assert_eq!(watch.since(), 41);
    old.terminate();
    assert!(old.wait().success());
    let (mut client, _upstream) = new.establish(&server);
    assert_drain_is_applied(&new, &mut watch, &server, &mut client, &Server::new());
}

/// Guards against a watch for each worker, and against workers that do not get the list.
#[test]
fn one_watch_of_a_pushed_list_serves_all_workers() {
    let (server, discovery) = (Server::new(), DiscoveryService::new());
    let settings = pushed_config(&[&server], &discovery);
    let program = BalancerProcess::start_with_operator(BINARY, &settings, "workers = 3");
    let mut watch = discovery.accept_watch();
    watch.send_blank_line();
    let mut clients: Vec<_> = (0..12).map(|_| program.establish(&server)).collect();
    watch.send_list(42, false, vec![endpoint("s-1", server.address(), "Terminating")]);
    for (client, _) in &mut clients {
        assert_eq!(client.receive_line(), "MOVE", "a worker did not get the endpoint list");
    }
    assert!(!discovery.has_pending_connection(), "more than one worker has a watch");
}
