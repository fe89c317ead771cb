//! Ids that a bad client repeats while one process replaces another: each id has one open request in the balancer, and no sound
//! connection is cut off because of them.

use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::handover::SuccessorStub;
use crate::operators::{wait_for_metric, with_operator_address};
use crate::predecessor_stub::{EstablishedPair, PredecessorStub};
use crate::upgrade::config_for_successor;
use crate::{BINARY, start};

const WORKERS: &str = "workers = 3";

/// The id that is repeated, as in first lines.
const ID: &str = "9b1f";
const ID_NUMBER: u64 = 0x9b1f;

fn settings(server: &Server) -> Value {
    with_operator_address(config(&[("s-1", server.address())]))
}

/// Starts a process that replaces `old`.
fn start_successor(old: &BalancerProcess, settings: &Value) -> BalancerProcess {
    old.start_sibling(BINARY, &config_for_successor(settings, old))
}

/// Checks that lines are relayed both ways.
#[track_caller]
fn assert_relays(client: &mut Connection, server: &mut Connection) {
    client.send_line("M 1");
    assert_eq!(server.receive_line(), "M 1");
    server.send_line("M 1");
    assert_eq!(client.receive_line(), "M 1");
}

/// Ends an established connection. The client leaves first, since an end by the server counts as a failure of the server. The
/// balancer closes the connection, and releases its id, once it has read the server's end as well.
#[track_caller]
fn end_connection(client: Connection, mut upstream: Connection) {
    drop(client);
    assert_eq!(upstream.receive(), Received::Fin);
}

/// Checks that a request with the id gets an error, and that no server gets it.
#[track_caller]
fn assert_id_is_rejected(at: &BalancerProcess, server: &Server) {
    let mut duplicate = at.open_with_id(ID, "");
    match server.accept_or_receive(&mut duplicate) {
        Ok(_) => panic!("a server got a second request with the id"),
        Err(answer) => assert_eq!(answer, Received::Line("ERR".into())),
    }
}

/// Guards against a sound client that is cut off without `MOVE`, as the new process has accepted a request with the same id
/// before the connection was transferred.
#[test]
fn an_id_that_is_repeated_in_a_replacement_does_not_cut_off_its_client() {
    let server = Server::new();
    let settings = settings(&server);
    let mut old = start(&settings);
    let (mut client, mut upstream) = old.establish_with_id(&server, ID);
    let new = start_successor(&old, &settings);
    // Only the new process accepts clients.
    old.pause();
    assert_id_is_rejected(&new, &server);
    old.resume();
    old.terminate();
    assert!(old.wait().success());
    assert_relays(&mut client, &mut upstream);
    assert_id_is_rejected(&new, &server);
    end_connection(client, upstream);
    wait_for_metric(&new, "concurrent", 0);
    new.establish_with_id(&server, ID);
}

/// Guards against a second attempt with an id whose request still waits for its server at the old process.
#[test]
fn the_id_of_a_request_that_waits_at_the_old_process_is_rejected_by_the_new_one() {
    let server = Server::new();
    let settings = settings(&server);
    let old = start(&settings);
    let mut waiting = old.open_with_id(ID, "");
    let mut upstream = server.accept();
    upstream.receive_line();
    let new = start_successor(&old, &settings);
    old.pause();
    assert_id_is_rejected(&new, &server);
    old.resume();
    upstream.send_line("UP 77");
    assert_eq!(waiting.receive_line(), "UP 77");
}

/// Guards against ids that a process does not learn of, as they are opened or closed after the other one has started.
#[test]
fn ids_that_are_opened_and_closed_beside_another_process_are_known_to_both() {
    let server = Server::new();
    let settings = settings(&server);
    let old = start(&settings);
    let new = start_successor(&old, &settings);
    for (holder, other) in [(&old, &new), (&new, &old)] {
        other.pause();
        let (client, upstream) = holder.establish_with_id(&server, ID);
        other.resume();
        other.wait_for_log("sibling-ids-changed");
        holder.pause();
        assert_id_is_rejected(other, &server);
        holder.resume();
        end_connection(client, upstream);
        other.wait_for_log("sibling-ids-changed");
        holder.pause();
        let (client, upstream) = other.establish_with_id(&server, ID);
        holder.resume();
        holder.wait_for_log("sibling-ids-changed");
        end_connection(client, upstream);
        holder.wait_for_log("sibling-ids-changed");
    }
}

/// Guards against a third process that knows the ids of the second only.
#[test]
fn an_id_is_known_to_a_process_two_replacements_later() {
    let server = Server::new();
    let settings = settings(&server);
    let mut first = start(&settings);
    let (mut client, mut upstream) = first.establish_with_id(&server, ID);
    let mut second = start_successor(&first, &settings);
    let third = start_successor(&second, &settings);
    first.pause();
    second.pause();
    assert_id_is_rejected(&third, &server);
    second.resume();
    first.resume();
    first.terminate();
    assert!(first.wait().success());
    second.terminate();
    assert!(second.wait().success());
    assert_relays(&mut client, &mut upstream);
    assert_id_is_rejected(&third, &server);
}

/// Guards against workers that do not know the ids of another process, or do not report theirs.
#[test]
fn ids_are_known_to_all_workers_of_two_processes() {
    let server = Server::new();
    let settings = settings(&server);
    let mut old = BalancerProcess::start_with_operator(BINARY, &settings, WORKERS);
    let mut connections: Vec<_> =
        (1..=30).map(|id| old.establish_with_id(&server, &format!("{id:x}"))).collect();
    let new = old.start_sibling_with_operator(BINARY, &config_for_successor(&settings, &old), WORKERS);
    for id in 1..=30 {
        let mut duplicate = new.open_with_id(&format!("{id:x}"), "");
        assert_eq!(duplicate.receive_line(), "ERR", "id {id}");
    }
    assert!(!server.has_pending_connection(), "a server got a second request with an id");
    old.terminate();
    assert!(old.wait().success());
    for (client, upstream) in &mut connections {
        assert_relays(client, upstream);
    }
}

/// Returns a process that has ended, whose place a [`PredecessorStub`] takes.
fn ended_process(settings: &Value) -> BalancerProcess {
    let mut settings = settings.clone();
    settings["listen"] = json!(stable_address());
    let mut ended = start(&settings);
    ended.terminate();
    assert!(ended.wait().success());
    ended
}

/// A predecessor of an earlier version does not report its ids, and two processes may open an id at the same moment. Guards
/// against a sound client that is cut off then, and against one of two claims that releases the other.
#[test]
fn a_transferred_connection_keeps_its_id_and_the_request_with_the_same_id_ends() {
    let server = Server::new();
    let settings = settings(&server);
    let ended = ended_process(&settings);
    let mut stub = PredecessorStub::start(&ended, &settings, &json!({}));
    // One duplicate is established, the other one waits for its server.
    let (mut duplicate, _upstream) = stub.successor.establish_with_id(&server, ID);
    let mut waiting = stub.successor.open_with_id("aa", "");
    let mut waiting_upstream = server.accept();
    waiting_upstream.receive_line();
    let mut pairs = [EstablishedPair::new(), EstablishedPair::new()];
    stub.transfer(&pairs[0], ID_NUMBER, &json!({}));
    stub.transfer(&pairs[1], 0xaa, &json!({}));
    stub.await_line("TOOK 2");
    assert_eq!(duplicate.receive_until_fin(), ["MOVE"]);
    assert_eq!(waiting.receive_until_fin(), ["ERR"]);
    for pair in &mut pairs {
        assert_relays(&mut pair.client, &mut pair.server);
    }
    assert_id_is_rejected(&stub.successor, &server);
}

/// Guards against an id that is free while its connection is in transit, and against a connection that can't come back because of
/// that: the transfer fails, and the client is to be migrated. The successor is one of an earlier version, which ignores ids.
#[test]
fn an_id_stays_taken_while_its_connection_is_in_transit_and_after_the_transfer_has_failed() {
    let server = Server::new();
    let mut old = start(&settings(&server));
    let (mut client, _upstream) = old.establish_with_id(&server, ID);
    // Accepted before the shutdown, in which the old process accepts no more clients.
    let mut duplicates = [old.connect(), old.connect()];
    for duplicate in &mut duplicates {
        duplicate.send_line("PING");
        assert_eq!(duplicate.receive_line(), "PONG");
    }
    let mut successor = SuccessorStub::connect(&old);
    assert!(successor.send("TAKES 2\nSERVES\n"));
    old.sync();
    old.terminate();
    successor.read_connections(1);
    let duplicate_line = format!("OPEN {ID} 7f3a c=chat,t=acme,d=20000");
    duplicates[0].send_line(&duplicate_line);
    assert_eq!(duplicates[0].receive_line(), "ERR");
    drop(successor);
    duplicates[1].send_line(&duplicate_line);
    assert_eq!(duplicates[1].receive_line(), "ERR");
    assert_eq!(client.receive_line(), "MOVE");
    assert!(old.wait().success());
}

/// Guards against a sound client that is cut off without `MOVE`, as its connection can't be adopted.
#[test]
fn a_client_whose_connection_cannot_be_adopted_is_migrated_unless_it_has_half_a_line() {
    let server = Server::new();
    let settings = settings(&server);
    let ended = ended_process(&settings);
    let mut stub = PredecessorStub::start(&ended, &settings, &json!({"open": [ID_NUMBER]}));
    let invalid = json!({"came": "TQ", "seen": 5});
    let mid_line = json!({"came": "TQ", "seen": 5, "mid_line": true});
    for (state, expected) in [
        (json!({"at_client": invalid}), vec!["MOVE"]),
        (json!({"at_server": invalid}), vec!["MOVE"]),
        (json!({"class": "feed"}), vec!["MOVE"]),
        (json!({"at_client": mid_line}), vec![]),
    ] {
        let mut pair = EstablishedPair::new();
        stub.transfer(&pair, ID_NUMBER, &state);
        assert!(stub.successor.wait_for_log("transfer-failed").contains("why="));
        drop(pair.server);
        let lines = std::iter::from_fn(|| match pair.client.receive() {
            Received::Line(line) => Some(line),
            Received::Fin | Received::Reset => None,
        });
        assert_eq!(lines.collect::<Vec<_>>(), expected, "{state}");
    }
    // The id is released with the connection, and free once the old process has closed it as well.
    stub.send(&format!("CLOSED {ID_NUMBER}"));
    stub.successor.wait_for_log("sibling-ids-changed");
    stub.successor.establish_with_id(&server, ID);
}

/// A configuration whose only class must not run twice.
fn settings_without_repeats(server: &Server) -> Value {
    let mut settings = settings(server);
    settings["settings"]["classes"][0]["semantics"] = json!("non_idempotent");
    settings
}

/// Guards against a request that runs twice, as its id comes again after its client has left or its connection has ended.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    let server = Server::new();
    let settings = settings_without_repeats(&server);
    let mut old = start(&settings);
    let waiting = old.open_with_id(ID, "");
    let mut upstream = server.accept();
    upstream.receive_line();
    end_connection(waiting, upstream);
    assert_id_is_rejected(&old, &server);
    let (client, upstream) = old.establish_with_id(&server, "aa");
    end_connection(client, upstream);
    wait_for_metric(&old, "concurrent", 0);
    assert_eq!(old.open_with_id("aa", "").receive_line(), "ERR");
    // Nor at the other process of a replacement, whether that has started before or after.
    let new = start_successor(&old, &settings);
    old.pause();
    assert_id_is_rejected(&new, &server);
    old.resume();
    new.pause();
    let (client, upstream) = old.establish_with_id(&server, "bb");
    end_connection(client, upstream);
    new.resume();
    new.wait_for_log("sibling-ids-changed");
    old.pause();
    assert_eq!(new.open_with_id("bb", "").receive_line(), "ERR");
    old.resume();
    assert!(!server.has_pending_connection(), "a server got a request again");
    // Nor once the process that had it has ended.
    old.terminate();
    assert!(old.wait().success());
    for id in [ID, "aa", "bb"] {
        assert_eq!(new.open_with_id(id, "").receive_line(), "ERR", "id {id}");
    }
}

/// The id of a request that cannot have run may come again.
#[test]
fn an_id_whose_request_was_turned_away_by_its_server_is_accepted_again() {
    let server = Server::new();
    let mut settings = settings_without_repeats(&server);
    settings["settings"]["limits"]["max_attempts"] = json!(1);
    let program = start(&settings);
    let mut client = program.open_with_id(ID, "");
    let mut upstream = server.accept();
    upstream.receive_line();
    upstream.send_line("BUSY");
    assert!(client.receive_line().starts_with("BUSY"));
    let mut again = program.open_with_id(ID, "");
    if let Err(answer) = server.accept_or_receive(&mut again) {
        assert_ne!(answer, Received::Line("ERR".into()), "the id stayed taken");
    }
}

/// The id of a request may come again if a repeat is harmless.
#[test]
fn an_id_whose_request_may_run_again_is_accepted_again() {
    let server = Server::new();
    let program = start(&settings(&server));
    let (client, upstream) = program.establish_with_id(&server, ID);
    end_connection(client, upstream);
    wait_for_metric(&program, "concurrent", 0);
    program.establish_with_id(&server, ID);
}

/// Starts a process that replaces a stub which answers sync requests, and sends it a request. Returns both once the process has
/// asked the stub to confirm the id.
fn request_beside_stub(settings: &Value) -> (PredecessorStub, Connection, String) {
    let ended = ended_process(settings);
    let mut stub = PredecessorStub::start(&ended, settings, &json!({"syncs": true}));
    let client = stub.successor.open_with_id(ID, "");
    stub.await_line(&format!("OPENED {ID_NUMBER}"));
    let request = stub.read_line();
    let number = request.strip_prefix("SYNC ").expect("a sync request").to_owned();
    (stub, client, number)
}

/// Guards against a request that runs twice, as both processes of a replacement have accepted its id before either knew of the
/// other's request: the new process waits for the old one, and yields to it.
#[test]
fn an_id_that_both_processes_accept_at_once_reaches_a_server_once() {
    let server = Server::new();
    let (mut stub, mut client, number) = request_beside_stub(&settings(&server));
    // The old process has accepted the id too, before it knew of the new one's request.
    stub.send(&format!("OPENED {ID_NUMBER}"));
    stub.send(&format!("SYNCED {number}"));
    match server.accept_or_receive(&mut client) {
        Ok(_) => panic!("the request of the new process reached a server"),
        Err(answer) => assert_eq!(answer, Received::Line("ERR".into())),
    }
    assert!(stub.successor.wait_for_log("malformed").contains("the predecessor process: 9b1f"));
    // The old process keeps it in the same case.
    let old = start(&settings(&server));
    let mut successor = SuccessorStub::connect(&old);
    assert!(successor.send("TAKES 2\nSYNCS\nSERVES\n"));
    old.sync();
    let _client = old.open_with_id(ID, "");
    while successor.read_line() != format!("OPENED {ID_NUMBER}") {}
    let request = successor.read_line();
    let number = request.strip_prefix("SYNC ").expect("a sync request");
    assert!(!server.has_pending_connection(), "the request was sent before the new process knew its id");
    assert!(successor.send(&format!("OPENED {ID_NUMBER}\nSYNCED {number}\n")));
    assert!(server.accept().receive_line().starts_with(&format!("OPEN {ID} ")));
}

/// Guards against requests that are lost or late beside a process that has stalled, or is of an earlier version.
#[test]
fn a_request_is_placed_though_the_other_process_does_not_confirm_its_id() {
    let server = Server::new();
    let settings = settings(&server);
    let (stub, _client, _) = request_beside_stub(&settings);
    assert!(server.accept().receive_line().starts_with(&format!("OPEN {ID} ")));
    assert!(stub.successor.wait_for_log("open-ids-unconfirmed").contains("ms=500"));
    let ended = ended_process(&settings);
    let stub = PredecessorStub::start(&ended, &settings, &json!({}));
    let _connections = stub.successor.establish_with_id(&server, ID);
}

/// Guards against a request that is sent after its client has left, which it did while other processes had not confirmed its id.
#[test]
fn a_request_whose_client_leaves_before_its_id_is_confirmed_reaches_no_server() {
    let server = Server::new();
    let (mut stub, client, number) = request_beside_stub(&settings(&server));
    drop(client);
    stub.await_line(&format!("CLOSED {ID_NUMBER}"));
    stub.send(&format!("SYNCED {number}"));
    let mut other = stub.successor.open_with_id("9b20", "");
    stub.await_line(&format!("OPENED {}", 0x9b20));
    let request = stub.read_line();
    stub.send(&request.replace("SYNC", "SYNCED"));
    let mut first_at_server =
        server.accept_or_receive(&mut other).expect("a connection of the second client");
    assert!(first_at_server.receive_line().starts_with("OPEN 9b20 "));
}

/// Guards against a request that is forgotten in a shutdown while other processes have not confirmed its id.
#[test]
fn a_request_whose_id_is_not_confirmed_is_answered_in_a_shutdown() {
    let server = Server::new();
    let (mut stub, mut client, _) = request_beside_stub(&settings(&server));
    stub.successor.terminate();
    match server.accept_or_receive(&mut client) {
        Ok(mut upstream) => {
            upstream.receive_line();
            upstream.send_line("UP 77");
            assert_eq!([client.receive_line(), client.receive_line()], ["UP 77", "MOVE"]);
        }
        Err(answer) => {
            assert!(matches!(&answer, Received::Line(line) if line.starts_with("BUSY")), "{answer:?}");
        }
    }
    drop(client);
    assert!(stub.successor.wait().success());
}

/// Guards against a request that waits for a process that has ended.
#[test]
fn a_request_is_placed_as_the_process_that_has_not_confirmed_its_id_ends() {
    let server = Server::new();
    let (stub, _client, _) = request_beside_stub(&settings(&server));
    let successor = stub.end();
    assert!(server.accept().receive_line().starts_with(&format!("OPEN {ID} ")));
    successor.wait_for_log("event=attempt ");
    assert_eq!(successor.find_in_log("open-ids-unconfirmed"), None, "the request has waited");
}

/// Guards against a process that answers a sync request before it has sent its own changes.
#[test]
fn a_sync_request_is_answered_after_the_changes_before_it() {
    let server = Server::new();
    let settings = settings(&server);
    let ended = ended_process(&settings);
    let mut stub = PredecessorStub::start(&ended, &settings, &json!({}));
    let _connections = stub.successor.establish_with_id(&server, ID);
    stub.send("SYNC 7");
    stub.await_line(&format!("OPENED {ID_NUMBER}"));
    stub.await_line("SYNCED 7");
}
