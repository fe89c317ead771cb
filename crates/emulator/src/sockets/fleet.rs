//! The balancers' processes: who runs, who is ready, who was told to end, and how each life went.
//!
//! A balancer comes back from nothing under its name and address. An end that nobody ordered is a crash.

use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::Path;

use serde::Serialize;
use serde_json::{Value, json};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_units::Micros;
use slotmap::DefaultKey;
use socket2::{Domain, Socket, Type};

use super::addresses::Addresses;
use super::clock::Distribution;
use super::directory::Directory;
use super::harness::Observations;
use super::lines::LineConnection;
use super::net::{Net, Ready, Role};
use super::process::{Process, ProcessError, ProcessFiles, Program, Usage};
use crate::edge::{BalancerId, End, FromBalancer};

/// A balancer that has not answered yet is asked again after this.
const ASK_AGAIN: Micros = 20_000;
/// Memory, time on a core and descriptors are looked at this often.
const LOOK: Micros = 250_000;
/// SIGHUP comes no sooner after a balancer was ready: before, it may not listen for it and would die of it.
const NO_SIGHUP: Micros = 1_000_000;

/// One life of a balancer's process, times on the driver's clock.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessIncarnation {
    /// Whose.
    pub balancer: u32,
    /// Its process began.
    pub began: Micros,
    /// It answered that it is ready.
    pub ready: Option<Micros>,
    /// It ended.
    pub ended: Option<Micros>,
    /// How it ended, in words; empty while it runs.
    pub how: String,
    /// The end was not ordered.
    pub crashed: bool,
    /// What it used.
    pub usage: Usage,
}

/// What has been ordered for a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Ordered {
    #[default]
    Nothing,
    Term,
    Kill,
}

/// What a balancer is started with.
#[derive(Clone, Debug)]
pub struct Start {
    /// For random numbers.
    pub seed: u64,
    /// The list as it had it last.
    pub known: EndpointList,
    /// Its settings as JSON text.
    pub settings: Value,
    /// Where discovery is.
    pub discovery: SocketAddr,
}

#[derive(Debug)]
struct Running {
    process: Process,
    key: DefaultKey,
    ordered: Ordered,
    /// It answered then that it is ready.
    ready: Option<Micros>,
    /// It has been told to read its configuration again, and the signal is still to go.
    stale: bool,
    /// The question whether it is ready, while it is out.
    ping: Option<LineConnection>,
    /// The next thing to do: to ask again, or to look at what it uses.
    due: Micros,
    /// Its life's place.
    life: usize,
}

impl Running {
    fn signal_reload(&mut self, now: Micros) {
        if self.stale && self.ready.is_some_and(|ready| now >= ready + NO_SIGHUP) {
            self.stale = false;
            self.process.hang_up();
        }
    }
}

#[derive(Debug)]
struct BalancerSlot {
    desk: ProcessFiles,
    listen: SocketAddr,
    /// Keeps the port while no balancer listens there; it never listens itself.
    _seat: Socket,
    config: Value,
    /// Arguments of its own.
    args: Vec<OsString>,
    running: Option<Running>,
}

/// All balancers.
#[derive(Debug)]
pub struct Fleet {
    program: Program,
    cores: f64,
    posts: Vec<BalancerSlot>,
    /// All lives, in the order in which they began.
    pub lives: Vec<ProcessIncarnation>,
    /// Errors in telling a balancer something.
    pub faults: Vec<String>,
}

impl Fleet {
    /// Posts for so many balancers, with their files in this folder. None runs yet.
    pub fn new(
        program: Program,
        cores: f64,
        addresses: Addresses,
        balancers: u32,
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        let mut posts = Vec::new();
        for who in (0..balancers).map(BalancerId) {
            let desk = ProcessFiles::new(folder, &Directory::balancer(who))?;
            let seat = || -> io::Result<(Socket, SocketAddr)> {
                let seat = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                seat.set_reuse_address(true)?;
                seat.bind(&addresses.balancer(who).into())?;
                let at = seat.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
                Ok((seat, at))
            };
            let (seat, listen) = seat().map_err(|e| ProcessError::Address(addresses.balancer(who), e))?;
            posts.push(BalancerSlot {
                desk,
                listen,
                _seat: seat,
                config: Value::Null,
                args: Vec::new(),
                running: None,
            });
        }
        Ok(Fleet { program, cores, posts, lives: Vec::new(), faults: Vec::new() })
    }

    /// Single ones of those that are started from now on get these arguments besides, by their places.
    pub fn start_each_with(&mut self, args: &[Vec<OsString>]) {
        self.posts.iter_mut().zip(args).for_each(|(post, args)| post.args.clone_from(args));
    }

    /// Balancers that are started from now on get these arguments.
    pub fn start_with(&mut self, args: Vec<OsString>) {
        self.program.args = args;
    }

    /// Where clients reach a balancer.
    pub fn address(&self, who: BalancerId) -> SocketAddr {
        self.posts[who.0 as usize].listen
    }

    /// Whether a balancer runs and has answered that it is ready.
    pub fn is_ready(&self, who: BalancerId) -> bool {
        self.posts[who.0 as usize].running.as_ref().is_some_and(|r| r.ready.is_some())
    }

    /// Where a balancer's log is.
    pub fn desk(&self, who: BalancerId) -> &ProcessFiles {
        &self.posts[who.0 as usize].desk
    }

    /// The number of a balancer's process in the system, while it runs.
    pub fn pid(&self, who: BalancerId) -> Option<u32> {
        self.posts[who.0 as usize].running.as_ref().map(|r| r.process.id())
    }

    /// What a balancer's process has used so far.
    pub fn used(&mut self, who: BalancerId) -> Usage {
        match &mut self.posts[who.0 as usize].running {
            Some(running) => {
                running.process.look();
                running.process.usage()
            }
            None => Usage::default(),
        }
    }

    /// Starts a balancer; one that runs still, or is about to be gone, is waited for first.
    pub fn start(
        &mut self,
        net: &mut Net,
        now: Micros,
        who: BalancerId,
        start: &Start,
    ) -> Result<(), ProcessError> {
        self.kill(who);
        self.over(net, now, who);
        let limits = self.program.limits;
        let post = &mut self.posts[who.0 as usize];
        post.config = json!({
            "name": post.desk.name(), "listen": post.listen, "discovery": start.discovery,
            "seed": format!("{:016x}", start.seed),
            "limits": {"cores": self.cores, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": start.known, "settings": start.settings,
        });
        post.desk.configure(&post.config)?;
        let mut program = self.program.clone();
        program.args.extend_from_slice(&post.args);
        let process = Process::start(&program, &post.desk, post.listen, start.discovery)?;
        let life = self.lives.len();
        let watched = net.watch(process.end(), Role::Exit(who, life));
        let key = watched.map_err(|e| ProcessError::Watch(process.id(), e))?;
        let ordered = Ordered::Nothing;
        post.running =
            Some(Running { process, key, ordered, ready: None, stale: false, ping: None, due: now, life });
        self.lives.push(ProcessIncarnation {
            balancer: who.0,
            began: now,
            ready: None,
            ended: None,
            how: String::new(),
            crashed: false,
            usage: Usage::default(),
        });
        Ok(())
    }

    /// A planned end: SIGTERM.
    pub fn terminate(&mut self, who: BalancerId) {
        if let Some(running) = &mut self.posts[who.0 as usize].running {
            running.ordered = Ordered::Term;
            running.process.terminate();
        }
    }

    /// SIGSTOP, or SIGCONT where it is to go on. One that does not run stays as it is.
    pub fn stall(&mut self, who: BalancerId, stops: bool) {
        if let Some(running) = &self.posts[who.0 as usize].running {
            if stops { running.process.stop() } else { running.process.go_on() }
        }
    }

    /// SIGKILL. The system needs milliseconds to end a process with many connections; its end is told later, so
    /// that nobody waits for it here.
    pub fn kill(&mut self, who: BalancerId) {
        let Some(running) = &mut self.posts[who.0 as usize].running else { return };
        running.process.look();
        running.ordered = Ordered::Kill;
        running.ready = None;
        running.due = Micros::MAX;
        running.process.kill();
    }

    /// Replaces the configuration with one that names this address of discovery, and sends SIGHUP, in its first
    /// second a little later.
    pub fn reload(
        &mut self,
        now: Micros,
        who: BalancerId,
        discovery: SocketAddr,
    ) -> Result<(), ProcessError> {
        let post = &mut self.posts[who.0 as usize];
        let Some(running) = &mut post.running else { return Ok(()) };
        post.config["discovery"] = json!(discovery);
        post.desk.configure(&post.config)?;
        running.stale = true;
        running.signal_reload(now);
        Ok(())
    }

    /// A balancer's process has ended in this life; tells the world if that was not its order to kill.
    pub fn exited(
        &mut self,
        net: &mut Net,
        now: Micros,
        who: BalancerId,
        life: usize,
        did: &mut Observations,
    ) {
        // The next life may have begun meanwhile.
        let running = self.posts[who.0 as usize].running.as_ref().filter(|r| r.life == life);
        let Some(ordered) = running.map(|r| r.ordered) else { return };
        if ordered != Ordered::Kill {
            did.push((who, FromBalancer::Exited.into()));
        }
        self.over(net, now, who);
    }

    /// Takes a process that has ended, or was killed, off its post.
    fn over(&mut self, net: &mut Net, now: Micros, who: BalancerId) {
        let Some(mut running) = self.posts[who.0 as usize].running.take() else { return };
        net.unwatch(running.process.end().as_fd(), running.key);
        if let Some(ping) = running.ping.take() {
            net.close(ping, End::Reset);
        }
        let life = &mut self.lives[running.life];
        let status = running.process.exited();
        (life.ended, life.usage) = (Some(now), running.process.usage());
        life.how = match (running.ordered, status) {
            (Ordered::Kill, _) => "killed as ordered".to_owned(),
            (_, Some(status)) => status.to_string(),
            (_, None) => "gone".to_owned(),
        };
        let fine = running.ordered == Ordered::Kill
            || (running.ordered == Ordered::Term && status.is_some_and(|s| s.success()));
        life.crashed = !fine;
        // Dropped here, the process is waited for.
    }

    /// The answer to the question whether a balancer is ready, or the end of the connection.
    pub fn pinged(
        &mut self,
        net: &mut Net,
        now: Micros,
        who: BalancerId,
        ready: Ready,
        did: &mut Observations,
    ) {
        let Some(running) = &mut self.posts[who.0 as usize].running else { return };
        let Some(ping) = &mut running.ping else { return };
        ping.ready(net, ready);
        let answered = matches!(ping.line(), Ok(Some(b"PONG")));
        if answered {
            running.ready = Some(now);
            self.lives[running.life].ready = Some(now);
            did.push((who, FromBalancer::Ready.into()));
        }
        if (answered || ping.ended().is_some()) && running.ping.is_some() {
            let ping = running.ping.take().expect("it was just there");
            net.close(ping, End::Fin);
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Micros {
        self.posts.iter().filter_map(|p| p.running.as_ref()).map(|r| r.due).min().unwrap_or(Micros::MAX)
    }

    /// Does what is due: asks who has not answered, looks at what the others use, and kills who uses too much.
    pub fn due(&mut self, net: &mut Net, now: Micros, late: &mut Distribution) {
        for (who, post) in self.posts.iter_mut().enumerate() {
            let Some(running) = post.running.as_mut().filter(|r| r.due <= now) else { continue };
            late.record(now - running.due);
            if running.ready.is_some() {
                running.due = now + LOOK;
                running.signal_reload(now);
                if running.process.look() {
                    self.faults.push(format!("{} over its memory, killed", post.desk.name()));
                    running.process.kill();
                }
                continue;
            }
            running.due = now + ASK_AGAIN;
            if running.ping.is_none()
                && let Ok(mut wire) = net.connect(post.listen, Role::Ping(BalancerId(who as u32)))
            {
                wire.say(net, b"PING\r\n");
                running.ping = Some(wire);
            }
        }
    }

    /// Ends all that still run, by SIGKILL.
    pub fn stop(&mut self, net: &mut Net, now: Micros) {
        for who in (0..self.posts.len() as u32).map(BalancerId) {
            self.kill(who);
            self.over(net, now, who);
        }
    }
}
