//! Peers that send at full speed, beside sound clients.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use shorewharf_emulator::standin::*;

use crate::start;

/// A line must not be held back for longer.
const MAX_LINE_DELAY: Duration = Duration::from_secs(1);
/// Long enough for the program to take long iterations for an overload.
const FLOOD_TIME: Duration = Duration::from_millis(2500);

/// Sends short lines without a pause until the connection ends.
fn flood(mut stream: TcpStream) {
    let lines = b"X\r\n".repeat(1000);
    while stream.write_all(&lines).is_ok() {}
}

/// Reads and discards until the connection ends.
fn discard(mut stream: TcpStream) {
    let mut bytes = [0; 1 << 16];
    while stream.read(&mut bytes).is_ok_and(|read| read > 0) {}
}

/// Guards against one connection for which all others wait: sound clients are rejected as in an overload then, or get their lines
/// late.
#[test]
fn sound_clients_are_served_beside_a_client_and_a_server_at_full_speed() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (client, upstream) = program.establish(&server);
    let mut threads = Vec::new();
    for connection in [&client, &upstream] {
        let [sender, receiver] = [(); 2].map(|()| connection.stream().try_clone().expect("a duplicate"));
        threads.push(std::thread::spawn(move || flood(sender)));
        threads.push(std::thread::spawn(move || discard(receiver)));
    }
    let began = Instant::now();
    while began.elapsed() < FLOOD_TIME {
        let (mut sound, mut sound_upstream) = program.establish(&server);
        let sent_at = Instant::now();
        sound.send_line("hello");
        assert_eq!(sound_upstream.receive_line(), "hello");
        sound_upstream.send_line("hello");
        assert_eq!(sound.receive_line(), "hello");
        assert!(sent_at.elapsed() < MAX_LINE_DELAY, "a line took {:?}", sent_at.elapsed());
        // The client leaves first: an end by the server would count as a failure of the server.
        drop(sound);
        assert_eq!(sound_upstream.receive(), Received::Fin);
    }
    // The person on call finds out which connection it is.
    let flooding_client = client.stream().local_addr().expect("connected");
    assert!(
        program.wait_for_log("connection-saturated").contains(&format!("client={flooding_client} id=9b1f"))
    );
    for connection in [&client, &upstream] {
        // Fails if the other end has ended the connection first.
        let _ = connection.stream().shutdown(Shutdown::Both);
    }
    threads.into_iter().for_each(|thread| thread.join().expect("no panic"));
}
