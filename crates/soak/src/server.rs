//! Stub servers. Each connection has a thread, which reads the request's line and responds according to the server's present
//! behaviour.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ledger::Attempt;
use crate::loopback::{self, Listener};
use crate::plan::Behaviour;
use crate::recorder::Recorder;

/// The stack size of a connection's thread.
const STACK_BYTES: usize = 256 << 10;

/// A stub server.
#[derive(Debug)]
pub struct Server {
    number: usize,
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    behaviour: Behaviour,
    draining_since: Option<Duration>,
}

impl Server {
    /// Starts a server that serves until the run is over.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(number: usize, recorder: &Arc<Recorder>) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind((loopback::address(Listener::Servers), 0))?;
        let state = State { behaviour: Behaviour::Normal, draining_since: None };
        let server = Arc::new(Server { number, address: listener.local_addr()?, state: Mutex::new(state) });
        let (accepting, recorder) = (Arc::clone(&server), Arc::clone(recorder));
        std::thread::spawn(move || accepting.accept(&listener, &recorder));
        Ok(server)
    }

    /// The address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the server treats requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().expect("no panic").behaviour = behaviour;
    }

    /// Sets the time from which the server is listed as draining; `None` if it is not draining.
    pub fn set_draining(&self, since: Option<Duration>) {
        self.state.lock().expect("no panic").draining_since = since;
    }

    /// Whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.state.lock().expect("no panic").draining_since.is_some()
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, recorder: &Arc<Recorder>) {
        for (count, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { continue };
            if recorder.is_over() {
                return;
            }
            let (server, recorder) = (Arc::clone(&self), Arc::clone(recorder));
            let seed = (self.number as u64) << 32 | count as u64;
            let serve = move || server.serve(&stream, &recorder, Pcg64Mcg::seed_from_u64(seed));
            drop(std::thread::Builder::new().stack_size(STACK_BYTES).spawn(serve));
        }
    }

    fn serve(&self, stream: &TcpStream, recorder: &Recorder, random: Pcg64Mcg) {
        // This fails only on a closed connection, which the first read detects.
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let Some(line) = read_open_line(stream, &mut reader) else { return };
        let state = *self.state.lock().expect("no panic");
        let Some(id) = line.split(' ').nth(1).and_then(|id| u64::from_str_radix(id, 16).ok()) else { return };
        let attempt = Attempt {
            server: self.number,
            read_at: recorder.now(),
            ended_at: None,
            is_rejected: state.behaviour == Behaviour::Rejects,
            draining_since: state.draining_since,
        };
        let index = recorder.attempt_read(id, attempt);
        Connection { stream, reader, recorder, random }.respond(state.behaviour);
        recorder.attempt_ended(id, index);
    }
}

/// Reads lines up to the request's line, and answers health checks. `None` if the connection ends before.
fn read_open_line(stream: &TcpStream, reader: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 || !line.ends_with("\r\n") {
            return None;
        }
        if line != "PING\r\n" {
            return Some(line);
        }
        send(stream, b"PONG\r\n");
    }
}

/// Sends a line; returns `false` if the connection is closed.
fn send(mut stream: &TcpStream, line: &[u8]) -> bool {
    stream.write_all(line).is_ok()
}

/// A connection whose request has been read.
struct Connection<'c> {
    stream: &'c TcpStream,
    reader: BufReader<&'c TcpStream>,
    recorder: &'c Recorder,
    random: Pcg64Mcg,
}

impl Connection<'_> {
    fn respond(mut self, behaviour: Behaviour) {
        match behaviour {
            Behaviour::Normal => self.establish(),
            Behaviour::Slow { max_ms } => {
                self.sleep_up_to(max_ms);
                self.establish();
            }
            Behaviour::Hangs => self.wait_for_end(),
            Behaviour::Errors => drop(send(self.stream, b"ERR\r\n")),
            Behaviour::Rejects => drop(send(self.stream, b"BUSY\r\n")),
            Behaviour::Resets { max_ms } => {
                self.sleep_up_to(max_ms);
                // A linger time of 0 makes the close a reset. Setting it fails only on a closed connection.
                let _ = socket2::SockRef::from(self.stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    fn sleep_up_to(&mut self, max_ms: u64) {
        std::thread::sleep(Duration::from_millis(self.random.random_range(0..=max_ms)));
    }

    /// Accepts the request and echoes lines until the client or the run ends.
    fn establish(mut self) {
        if !send(self.stream, b"UP 1\r\n") {
            return;
        }
        let mut line = String::new();
        while !self.recorder.is_over() {
            line.clear();
            let is_read = self.reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0);
            if !is_read || !send(self.stream, line.as_bytes()) {
                break;
            }
        }
        send(self.stream, b"BYE\r\n");
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Reads until the other side has ended the connection.
    fn wait_for_end(mut self) {
        let mut line = String::new();
        while self.reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
            line.clear();
        }
    }
}
