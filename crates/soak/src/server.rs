//! Stand-in servers: a thread for each connection, which reads the first line and treats it as the server behaves then.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ledger::Attempt;
use crate::plan::Behaviour;
use crate::run::World;

/// One server.
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
    /// A server that listens and serves until the world is over.
    pub fn start(number: usize, world: &Arc<World>) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind((crate::run::loopback(1), 0))?;
        let state = State { behaviour: Behaviour::Normal, draining_since: None };
        let server = Arc::new(Server { number, address: listener.local_addr()?, state: Mutex::new(state) });
        let (accepting, world) = (Arc::clone(&server), Arc::clone(world));
        std::thread::spawn(move || accepting.accept(&listener, &world));
        Ok(server)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// It behaves so from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        self.state.lock().expect("no panic").behaviour = behaviour;
    }

    /// It drains, as discovery has told since then, or no longer.
    pub fn drain(&self, since: Option<Duration>) {
        self.state.lock().expect("no panic").draining_since = since;
    }

    /// Whether it drains.
    pub fn is_draining(&self) -> bool {
        self.state.lock().expect("no panic").draining_since.is_some()
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, world: &Arc<World>) {
        for (count, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { continue };
            if world.is_over() {
                return;
            }
            let (server, world) = (Arc::clone(&self), Arc::clone(world));
            let seed = (self.number as u64) << 32 | count as u64;
            let serve = move || server.serve(stream, &world, Pcg64Mcg::seed_from_u64(seed));
            drop(std::thread::Builder::new().stack_size(256 << 10).spawn(serve));
        }
    }

    fn serve(&self, stream: TcpStream, world: &World, mut random: Pcg64Mcg) {
        // Fails only on a connection that is gone, which the first read shows.
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(&stream);
        let mut line = String::new();
        loop {
            line.clear();
            if !reader.read_line(&mut line).is_ok_and(|n| n > 0) || !line.ends_with("\r\n") {
                return;
            }
            if line != "PING\r\n" {
                break;
            }
            let _ = (&stream).write_all(b"PONG\r\n");
        }
        let state = *self.state.lock().expect("no panic");
        let Some(id) = line.split(' ').nth(1).and_then(|id| u64::from_str_radix(id, 16).ok()) else { return };
        let attempt = world.attempt_read(
            id,
            Attempt {
                server: self.number,
                read_at: world.now(),
                ended_at: None,
                turned_away: state.behaviour == Behaviour::TurnsAway,
                draining_since: state.draining_since,
            },
        );
        self.treat(&stream, &mut reader, world, &mut random, state.behaviour);
        world.attempt_ended(id, attempt);
    }

    fn treat(
        &self,
        stream: &TcpStream,
        reader: &mut BufReader<&TcpStream>,
        world: &World,
        random: &mut Pcg64Mcg,
        behaviour: Behaviour,
    ) {
        let say = |words: &[u8]| {
            let mut writer = stream;
            writer.write_all(words).is_ok()
        };
        match behaviour {
            Behaviour::Normal => {}
            Behaviour::Hangs => return wait_for_end(reader),
            Behaviour::Slow(most) => {
                std::thread::sleep(Duration::from_millis(random.random_range(0..=most)));
            }
            Behaviour::Errors => {
                say(b"ERR\r\n");
                return;
            }
            Behaviour::TurnsAway => {
                say(b"BUSY\r\n");
                return;
            }
            Behaviour::Resets(most) => {
                std::thread::sleep(Duration::from_millis(random.random_range(0..=most)));
                // Fails only on a connection that is gone.
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                return;
            }
        }
        if say(b"UP 1\r\n") {
            self.stand(stream, reader, world);
        }
    }

    /// Answers lines until the client ends.
    fn stand(&self, stream: &TcpStream, reader: &mut BufReader<&TcpStream>, world: &World) {
        let mut line = String::new();
        while !world.is_over() {
            line.clear();
            if !reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                break;
            }
            let mut writer = stream;
            if writer.write_all(line.as_bytes()).is_err() {
                break;
            }
        }
        let _ = (&mut &*stream).write_all(b"BYE\r\n");
        let _ = stream.shutdown(Shutdown::Write);
    }
}

/// Reads on until the other side has ended.
fn wait_for_end(reader: &mut BufReader<&TcpStream>) {
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        line.clear();
    }
}

/// A flag that several threads see.
#[derive(Debug, Default)]
pub struct Flag(AtomicBool);

impl Flag {
    /// Sets it.
    pub fn set(&self, value: bool) {
        self.0.store(value, Ordering::SeqCst);
    }

    /// Whether it is set.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
