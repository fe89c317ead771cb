//! One process of a balancer replaced by another under load.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};

use shorewharf_emulator::standin::*;
use shorewharf_protocol::open_request::OpenRequestLine;

use crate::operators::{wait_for_metric, with_operator_address};
use crate::{BINARY, start};

/// How the first line of a client begins that is to stand.
const STANDS: &str = "OPEN 1 ";

/// A server that serves everybody at once, and lets one stand, until the test is over.
struct Taker(Arc<AtomicBool>, Option<JoinHandle<()>>);

impl Taker {
    fn new(node: Node) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let takes = {
            let over = Arc::clone(&over);
            move || {
                let mut held = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    if let Some(mut peer) = node.accept_within(Duration::from_millis(20)) {
                        // One that was called off meanwhile has no line, or does not want the answer.
                        match peer.hear() {
                            Heard::Line(line) if line.starts_with(STANDS) => {
                                peer.try_put(b"UP 1\r\n");
                                held.push(peer);
                            }
                            _ => drop(peer.try_put(b"BYE\r\n")),
                        }
                    }
                }
            }
        };
        Taker(over, Some(std::thread::spawn(takes)))
    }
}

impl Drop for Taker {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        self.1.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// Clients that come one after the other, without a pause, until the test is over; how many came, and how many were turned
/// back unheard.
struct Stream(Arc<AtomicBool>, Arc<AtomicUsize>, Vec<JoinHandle<Vec<String>>>);

impl Stream {
    fn of(clients: usize, to: SocketAddr) -> Self {
        let (over, came) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let one = |client: usize| {
            let (over, came) = (Arc::clone(&over), Arc::clone(&came));
            std::thread::spawn(move || {
                let mut unheard = Vec::new();
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        break;
                    }
                    came.fetch_add(1, Ordering::Relaxed);
                    match asks(to, client << 32 | n) {
                        Ok(line) if line.starts_with("BYE") || line.starts_with("BUSY") => {}
                        Ok(line) => unheard.push(format!("answered {line:?}")),
                        Err(e) => unheard.push(e.to_string()),
                    }
                }
                unheard
            })
        };
        let threads = (1..=clients).map(one).collect();
        Stream(over, came, threads)
    }

    /// Waits until so many more have come.
    fn goes_on(&self, more: usize) {
        let wanted = self.1.load(Ordering::Relaxed) + more;
        let began = std::time::Instant::now();
        while self.1.load(Ordering::Relaxed) < wanted {
            assert!(began.elapsed() < LIMIT, "the stream stands still");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn ends(self) -> Vec<String> {
        self.0.store(true, Ordering::Relaxed);
        self.2.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    }
}

/// A client that asks once and leaves with its answer.
fn asks(to: SocketAddr, id: usize) -> std::io::Result<String> {
    use std::io::{BufRead, BufReader, Write};
    let mut stream = std::net::TcpStream::connect(to)?;
    stream.set_read_timeout(Some(LIMIT))?;
    stream.write_all(format!("OPEN {id:x} 7 c=chat,t=acme,d=20000\r\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line)?;
    if line.is_empty() { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(line) }
}

/// The same configuration for a process that comes beside this one.
fn same(config: &Value, program: &Program) -> Value {
    let mut same = config.clone();
    same["listen"] = json!(program.address());
    same
}

#[test]
fn two_upgrades_under_a_stream_of_clients_turn_nobody_back_unheard() {
    let (node, other) = (Node::new(), Node::new());
    let settings = with_operator_address(config(&[("s-1", node.address()), ("s-2", other.address())]));
    let _takers = [Taker::new(node), Taker::new(other)];
    let mut old = start(&settings);
    let stream = Stream::of(6, old.address());
    let mut stands = Peer::open(old.address(), &stands_line());
    assert_eq!(stands.line(), "UP 1");
    for _ in 0..2 {
        stream.goes_on(200);
        let new = old.start_beside(BINARY, &same(&settings, &old));
        assert_eq!(new.call("readyz"), ["YES"]);
        stream.goes_on(200);
        old.terminate();
        assert!(old.logged("event=shutting-down").contains("successor=true"));
        assert!(old.call("readyz")[0].starts_with("NO "));
        assert!(old.wait().success());
        old = new;
    }
    stream.goes_on(200);
    assert!(!stands.has_word(Duration::from_millis(1)), "it stood");
    assert_eq!(stream.ends(), Vec::<String>::new());
}

fn stands_line() -> OpenRequestLine<'static> {
    OpenRequestLine {
        id: 1,
        key: 1,
        class: "chat",
        tenant: "acme",
        timeout_ms: 20_000,
        ..OpenRequestLine::default()
    }
}

/// Whether lines pass both ways.
fn passes(client: &mut Peer, server: &mut Peer, word: &str) {
    client.say(word);
    assert_eq!(server.line(), word);
    server.say(word);
    assert_eq!(client.line(), word);
}

#[test]
fn standing_connections_go_along_between_lines_and_in_the_middle_of_one() {
    let node = Node::new();
    let settings = with_operator_address(config(&[("s-1", node.address())]));
    let mut old = start(&settings);
    let (mut one, mut at_one) = old.stand(&node);
    let (mut two, mut at_two) = old.stand(&node);
    let (mut three, mut at_three) = old.stand(&node);
    passes(&mut one, &mut at_one, "M 1");
    at_one.say("LOAD 5000");
    assert_eq!(one.line(), "LOAD 5000");
    // What is on its way here, or half here, goes along, and so does what waits in the system.
    at_three.put(b"half a li");
    three.put(b"M 5\r\nM 6 an");
    assert_eq!(at_three.line(), "M 5");
    old.settled();
    let new = old.start_beside(BINARY, &same(&settings, &old));
    two.say("M 2");
    assert_eq!(at_two.line(), "M 2");
    old.terminate();
    // Its answer is still to come when it goes along.
    wait_for_metric(&new, "concurrent", 3);
    at_two.say("M 2");
    assert_eq!(two.line(), "M 2");
    assert!(old.wait().success());
    at_three.put(b"ne\r\n");
    three.put(b"swer\r\n");
    assert_eq!((three.line(), at_three.line()), ("half a line".into(), "M 6 answer".into()));
    passes(&mut one, &mut at_one, "M 3");
    assert_eq!(new.figure("concurrent"), 3);
    assert_eq!(new.figure("replies.chat.success"), 0, "they came up in the other process");
    // The module has them: it moves them off a server that is taken out, and their ids are in use.
    assert_eq!(new.open_as("9b1f", "").line(), "ERR");
    assert_eq!(new.call("exclude s-1"), ["YES"]);
    assert_eq!((one.line(), two.line(), three.line()), ("MOVE".into(), "MOVE".into(), "MOVE".into()));
    wait_for_metric(&new, "concurrent", 0);
}

#[test]
fn a_new_process_that_dies_or_cannot_start_is_not_noticed() {
    let node = Node::new();
    let settings = with_operator_address(config(&[("s-1", node.address())]));
    let _taker = Taker::new(node);
    let mut old = start(&settings);
    let stream = Stream::of(4, old.address());
    let mut bad = same(&settings, &old);
    bad["settings"]["classes"] = json!([]);
    assert_eq!(refused_start(BINARY, &bad).0, Some(2));
    let new = old.start_beside(BINARY, &same(&settings, &old));
    stream.goes_on(50);
    // Killed: what it has accepted is lost with it, as with any process; so nobody must be on the way.
    let unheard = stream.ends();
    drop(new);
    assert_eq!(unheard, Vec::<String>::new());
    let stream = Stream::of(4, old.address());
    stream.goes_on(100);
    assert!(old.is_running());
    // The next one finds the old process all the same.
    let next = old.start_beside(BINARY, &same(&settings, &old));
    old.terminate();
    assert!(old.logged("event=shutting-down").contains("successor=true"));
    assert!(old.wait().success());
    stream.goes_on(100);
    assert_eq!(stream.ends(), Vec::<String>::new());
    assert_eq!(next.call("readyz"), ["YES"]);
}

#[test]
fn a_successor_starts_with_the_list_as_it_stands_and_without_one_the_end_is_as_ever() {
    let (one, two, director) = (Node::new(), Node::new(), Director::new());
    let settings = with_operator_address(asking(&[("s-1", one.address())], &director));
    let mut old = start(&settings);
    let mut watch = director.watch();
    watch.tell(42, false, vec![endpoint("s-2", two.address(), "Ready")]);
    wait_for_metric(&old, "targets", 2);
    let mut new = old.start_beside(BINARY, &same(&settings, &old));
    assert_eq!(new.figure("targets"), 2);
    // It goes on from there.
    assert_eq!(director.watch().since(), 42);
    old.terminate();
    assert!(old.wait().success());
    // Nobody came after it: it goes on taking clients for a moment, and tells them to come again.
    new.terminate();
    assert!(new.logged("event=shutting-down").contains("successor=false"));
    let mut client = new.open("");
    assert!(client.line().starts_with("BUSY "));
    assert!(new.wait().success());
}

#[test]
fn a_client_whose_class_the_new_process_does_not_know_is_moved_and_not_cut_off() {
    let node = Node::new();
    let settings = with_operator_address(config(&[("s-1", node.address())]));
    let mut old = start(&settings);
    let (mut client, _s) = old.stand(&node);
    let mut other = same(&settings, &old);
    other["settings"]["classes"][0]["name"] = json!("feed");
    let new = old.start_beside(BINARY, &other);
    old.terminate();
    assert_eq!((client.hear(), client.hear()), (Heard::Line("MOVE".into()), Heard::Fin));
    assert!(old.wait().success());
    wait_for_metric(&new, "concurrent", 0);
}
