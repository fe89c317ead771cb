//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::context::tests::until;
use crate::event_loop::poll::EventPoller;
use crate::handover::messages::held;
use crate::handover::successors::Successors;
use shorewharf_protocol::endpoint_list::EndpointList;

fn poller() -> SourceRegistry {
    EventPoller::new().and_then(|watch| watch.registry()).expect("a loop")
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// The old process's loop, until somebody has asked and has an answer.
fn asked(successors: &mut Successors, path: &Path, estate: &HandoverState) -> ReceivedHandover {
    std::thread::scope(|s| {
        let asks = s.spawn(|| ask(path));
        until(|| {
            successors.comes(&poller(), || estate.clone());
            successors.hears_all(&poller(), 0);
            asks.is_finished()
        });
        asks.join().expect("no panic").expect("an estate")
    })
}

#[test]
fn a_successor_has_the_same_listener_and_list_and_is_one_while_it_serves() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("door");
    let old = listener();
    let mut successors =
        Successors::open(path.clone(), vec![old.try_clone().expect("a copy")], &poller()).expect("a socket");
    // A list that is larger than the socket's buffer.
    let endpoint = serde_json::json!({"name": "s", "address": "127.0.0.1:1", "status": "Ready"});
    let endpoints = vec![serde_json::from_value(endpoint).expect("an endpoint"); 10_000];
    let known = EndpointList { index: 7, snapshot: true, endpoints };
    let estate = HandoverState { version: VERSION, held: 40, known, ..HandoverState::default() };
    let inherited = asked(&mut successors, &path, &estate);
    assert_eq!((inherited.estate.known == estate.known, inherited.estate.held), (true, 40));
    assert_eq!(inherited.listeners[0].local_addr().ok(), old.local_addr().ok());
    assert!(!successors.has_one(), "it does not serve yet");
    let mut predecessor = Predecessor::told(inherited, false, &poller()).expect("told");
    successors.hears_all(&poller(), 0);
    assert!(successors.has_one());
    successors.tell(held(12).as_bytes());
    successors.tell(&[LEAVES, b"\n"].concat());
    until(|| predecessor.ready() && predecessor.leaves);
    assert_eq!(predecessor.held, 12);
    // It took the path and died: the next one finds the old process.
    std::fs::remove_file(&path).expect("the path");
    drop(predecessor);
    until(|| {
        successors.hears_all(&poller(), 0);
        !successors.has_one()
    });
    let next = asked(&mut successors, &path, &estate);
    let mut predecessor = Predecessor::told(next, false, &poller()).expect("told");
    drop(successors);
    until(|| !predecessor.ready());
}

#[test]
fn nobody_and_nonsense_are_errors_in_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("door");
    assert!(ask(&path).is_err(), "nobody is there");
    let nonsense = std::os::unix::net::UnixListener::bind(&path).expect("a socket");
    for words in
        ["nonsense\n", "{\"version\":2,\"listeners\":0,\"held\":0,\"known\":{}}\n", "{\"version\":1", ""]
    {
        let asks = std::thread::spawn({
            let path = path.clone();
            move || ask(&path)
        });
        let (mut one, _) = nonsense.accept().expect("it asks");
        one.write_all(words.as_bytes()).expect("open");
        // The last says nothing and stays.
        let _stays = words.is_empty().then_some(one);
        assert!(asks.join().expect("no panic").is_err(), "{words}");
    }
    drop(nonsense);
    assert!(ask(&path).is_err(), "the process is gone");
}
