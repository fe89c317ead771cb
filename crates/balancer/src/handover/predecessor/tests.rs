//! Tests of both ends of a hand-over, over a socket.

use super::*;
use crate::event_loop::context::tests::until;
use crate::event_loop::poll::EventPoller;
use crate::handover::successors::Successors;
use shorewharf_protocol::endpoint_list::EndpointList;

fn registry() -> SourceRegistry {
    EventPoller::new().and_then(|poller| poller.registry()).expect("a registry")
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// Requests the state while the old process accepts successors, until it has been received.
fn request_until_answered(
    successors: &mut Successors,
    path: &Path,
    state: &HandoverState,
) -> ReceivedHandover {
    std::thread::scope(|scope| {
        let request = scope.spawn(|| request_state(path));
        until(|| {
            successors.accept(&registry(), 0, || state.clone());
            successors.receive_all(&registry(), 0);
            request.is_finished()
        });
        request.join().expect("no panic").expect("a state")
    })
}

#[test]
fn a_successor_receives_listener_and_list_and_counts_while_it_serves() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("process");
    let listener = listener();
    let offered = vec![listener.try_clone().expect("a duplicate")];
    let mut successors = Successors::open(path.clone(), offered, &registry()).expect("a socket");
    // The list is larger than the socket's buffer.
    let endpoint = serde_json::json!({"name": "s", "address": "127.0.0.1:1", "status": "Ready"});
    let endpoints = vec![serde_json::from_value(endpoint).expect("an endpoint"); 10_000];
    let list = EndpointList { index: 7, snapshot: true, endpoints };
    let state =
        HandoverState { version: VERSION, descriptors: 40, endpoints: list, ..HandoverState::default() };
    let received = request_until_answered(&mut successors, &path, &state);
    assert_eq!((received.state.endpoints == state.endpoints, received.state.descriptors), (true, 40));
    assert_eq!(received.listeners[0].local_addr().ok(), listener.local_addr().ok());
    assert!(!successors.is_any_serving(), "the new process does not serve yet");
    let mut predecessor = Predecessor::announce(received, false, &registry()).expect("the message is sent");
    successors.receive_all(&registry(), 0);
    assert!(successors.is_any_serving());
    successors.broadcast(&PredecessorMessage::Descriptors(12));
    successors.broadcast(&PredecessorMessage::Draining);
    until(|| predecessor.receive() && predecessor.is_draining);
    assert_eq!(predecessor.descriptors, 12);
    // The new process has replaced the socket at the path and ended; the next one reaches the old process.
    std::fs::remove_file(&path).expect("the path");
    drop(predecessor);
    until(|| {
        successors.receive_all(&registry(), 0);
        !successors.is_any_serving()
    });
    let next = request_until_answered(&mut successors, &path, &state);
    let mut predecessor = Predecessor::announce(next, false, &registry()).expect("the message is sent");
    drop(successors);
    until(|| !predecessor.receive());
}

#[test]
fn a_missing_or_invalid_predecessor_is_an_error_in_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("process");
    assert!(request_state(&path).is_err(), "no process has ever listened at the path");
    let listener = std::os::unix::net::UnixListener::bind(&path).expect("a socket");
    for response in
        ["nonsense\n", "{\"version\":2,\"listeners\":0,\"held\":0,\"known\":{}}\n", "{\"version\":1", ""]
    {
        let request = std::thread::spawn({
            let path = path.clone();
            move || request_state(&path)
        });
        let (mut stream, _) = listener.accept().expect("a request");
        stream.write_all(response.as_bytes()).expect("the response is sent");
        // The empty response stands for a process that keeps the connection open and sends nothing.
        let _open_stream = response.is_empty().then_some(stream);
        assert!(request.join().expect("no panic").is_err(), "{response}");
    }
    drop(listener);
    assert!(request_state(&path).is_err(), "no process listens at the path any more");
}
