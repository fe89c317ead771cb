//! Clients: each sends one request after the other, to any balancer that takes new ones.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ledger::{Answer, Request};
use crate::plan::Plan;
use crate::run::World;

/// A client waits so much longer than its class for an answer that is late.
const LATE: Duration = Duration::from_millis(3000);
/// A connection that stands says a line so often.
const LINES: Duration = Duration::from_millis(100);

/// One client, until no new requests come.
pub fn live(world: &World, plan: &Plan, number: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed << 16 | number);
    let mut count = 0;
    while world.takes_requests() {
        std::thread::sleep(Duration::from_millis(random.random_range(5..120)));
        let balancer = random.random_range(0..plan.balancers);
        if !world.fleet().takes_new(balancer) {
            continue;
        }
        let Ok(stream) = TcpStream::connect(world.fleet().address(balancer)) else { continue };
        count += 1;
        let id = (number + 1) << 32 | count;
        Client { world, plan, random: &mut random, stream, id, balancer }.ask();
    }
}

/// What comes next on a client's connection.
enum Heard {
    Line(String),
    End,
    Nothing,
}

struct Client<'a> {
    world: &'a World,
    plan: &'a Plan,
    random: &'a mut Pcg64Mcg,
    stream: TcpStream,
    id: u64,
    balancer: usize,
}

impl Client<'_> {
    fn ask(mut self) {
        // Some rest for a while before they say anything.
        if self.random.random_bool(0.1) {
            std::thread::sleep(Duration::from_millis(self.random.random_range(0..1500)));
        }
        if self.has_ended() {
            return;
        }
        let class = self.random.random_range(0..self.plan.classes.len());
        let give_up = self.plan.classes[class].give_up;
        let (name, id) = (&self.plan.classes[class].name, self.id);
        let line = format!("OPEN {id:x} {id:x} c={name},t=acme,d={}\r\n", give_up.as_millis());
        let sent_at = self.world.now();
        // Fails only on a connection that is gone, where nobody has read the line.
        if self.stream.set_nodelay(true).is_err() || self.stream.write_all(line.as_bytes()).is_err() {
            return;
        }
        let request = Request { class, balancer: self.balancer, sent_at, ..Request::default() };
        self.world.request_sent(id, request);
        if self.random.random_bool(0.08) {
            std::thread::sleep(give_up.mul_f64(self.random.random_range(0.0..0.8)));
            self.world.client_left(id);
            return;
        }
        let heard = self.hear(give_up + LATE);
        let answer = match &heard {
            Heard::Line(line) if line.starts_with("UP") => Answer::Taken,
            Heard::Line(line) if line.starts_with("BUSY") => Answer::Refused,
            Heard::Line(_) => Answer::Failed,
            Heard::End => Answer::Ended,
            Heard::Nothing => Answer::Nothing,
        };
        self.world.request_answered(id, answer);
        if answer == Answer::Taken {
            self.stand();
        }
    }

    /// Whether the balancer has ended a connection that rested: nobody sends a request on it then.
    fn has_ended(&self) -> bool {
        let is_set = self.stream.set_nonblocking(true).is_ok();
        let peeked = self.stream.peek(&mut [0]);
        is_set
            && (self.stream.set_nonblocking(false).is_err()
                || !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock))
    }

    fn hear(&self, within: Duration) -> Heard {
        // Fails only on a connection that is gone, which the read shows.
        let _ = self.stream.set_read_timeout(Some(within));
        let mut line = String::new();
        match BufReader::with_capacity(1, &self.stream).read_line(&mut line) {
            Ok(0) => Heard::End,
            Ok(_) => Heard::Line(line),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Heard::Nothing,
            Err(_) => Heard::End,
        }
    }

    /// Speaks with the server for a while, and ends.
    fn stand(mut self) {
        let until = Instant::now() + Duration::from_millis(self.random.random_range(0..1500));
        while Instant::now() < until && self.world.takes_requests() {
            if self.stream.write_all(b"M 1\r\n").is_err() {
                break;
            }
            match self.hear(LINES) {
                Heard::Line(line) if line.starts_with("M ") => std::thread::sleep(LINES / 2),
                Heard::Line(_) => return,
                Heard::End => return self.world.cut_off(self.id),
                Heard::Nothing => {}
            }
        }
        if self.random.random_bool(0.5) {
            // The server's last words, or a move, may still come; an end is what was asked for.
            let _ = self.stream.shutdown(Shutdown::Write);
            while let Heard::Line(_) = self.hear(Duration::from_secs(2)) {}
        }
    }
}
