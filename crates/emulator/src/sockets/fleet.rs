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
const READY_POLL_INTERVAL: Micros = 20_000;
/// Memory, time on a core and descriptors are looked at this often.
const USAGE_POLL_INTERVAL: Micros = 250_000;
/// SIGHUP comes no sooner after a balancer was ready: before, it may not listen for it and would die of it.
const MIN_RELOAD_DELAY: Micros = 1_000_000;

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
    needs_reload: bool,
    /// The question whether it is ready, while it is out.
    ping: Option<LineConnection>,
    /// The next thing to do: to ask again, or to look at what it uses.
    due: Micros,
    /// Its life's place.
    incarnation: usize,
}

impl Running {
    fn signal_reload(&mut self, now: Micros) {
        if self.needs_reload && self.ready.is_some_and(|ready| now >= ready + MIN_RELOAD_DELAY) {
            self.needs_reload = false;
            self.process.hang_up();
        }
    }
}

#[derive(Debug)]
struct BalancerSlot {
    files: ProcessFiles,
    listen: SocketAddr,
    /// Keeps the port while no balancer listens there; it never listens itself.
    _port_reservation: Socket,
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
    slots: Vec<BalancerSlot>,
    /// All lives, in the order in which they began.
    pub lives: Vec<ProcessIncarnation>,
    /// Errors in telling a balancer something.
    pub faults: Vec<String>,
}

impl Fleet {
    /// Posts for so many balancers, with their files in this folder. None runs yet.
    ///
    /// # Errors
    ///
    /// Fails if a balancer's files cannot be created or its address cannot be reserved.
    pub fn new(
        program: Program,
        cores: f64,
        addresses: Addresses,
        balancers: u32,
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        let mut slots = Vec::new();
        for balancer in (0..balancers).map(BalancerId) {
            let files = ProcessFiles::new(folder, &Directory::balancer(balancer))?;
            let reservation = || -> io::Result<(Socket, SocketAddr)> {
                let reservation = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                reservation.set_reuse_address(true)?;
                reservation.bind(&addresses.balancer(balancer).into())?;
                let at = reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
                Ok((reservation, at))
            };
            let (reservation, listen) =
                reservation().map_err(|e| ProcessError::Address(addresses.balancer(balancer), e))?;
            slots.push(BalancerSlot {
                files,
                listen,
                _port_reservation: reservation,
                config: Value::Null,
                args: Vec::new(),
                running: None,
            });
        }
        Ok(Fleet { program, cores, slots, lives: Vec::new(), faults: Vec::new() })
    }

    /// Single ones of those that are started from now on get these arguments besides, by their places.
    pub fn start_each_with(&mut self, args: &[Vec<OsString>]) {
        self.slots.iter_mut().zip(args).for_each(|(slot, args)| slot.args.clone_from(args));
    }

    /// Balancers that are started from now on get these arguments.
    pub fn start_with(&mut self, args: Vec<OsString>) {
        self.program.args = args;
    }

    /// Where clients reach a balancer.
    pub fn address(&self, balancer: BalancerId) -> SocketAddr {
        self.slots[balancer.0 as usize].listen
    }

    /// Whether a balancer runs and has answered that it is ready.
    pub fn is_ready(&self, balancer: BalancerId) -> bool {
        self.slots[balancer.0 as usize].running.as_ref().is_some_and(|r| r.ready.is_some())
    }

    /// Where a balancer's log is.
    pub fn files(&self, balancer: BalancerId) -> &ProcessFiles {
        &self.slots[balancer.0 as usize].files
    }

    /// The number of a balancer's process in the system, while it runs.
    pub fn pid(&self, balancer: BalancerId) -> Option<u32> {
        self.slots[balancer.0 as usize].running.as_ref().map(|r| r.process.id())
    }

    /// What a balancer's process has used so far.
    pub fn used(&mut self, balancer: BalancerId) -> Usage {
        match &mut self.slots[balancer.0 as usize].running {
            Some(running) => {
                running.process.look();
                running.process.usage()
            }
            None => Usage::default(),
        }
    }

    /// Starts a balancer; one that runs still, or is about to be gone, is waited for first.
    ///
    /// # Errors
    ///
    /// Fails if the configuration cannot be written, or the process cannot be started or watched.
    pub fn start(
        &mut self,
        net: &mut Net,
        now: Micros,
        balancer: BalancerId,
        start: &Start,
    ) -> Result<(), ProcessError> {
        self.kill(balancer);
        self.remove_process(net, now, balancer);
        let limits = self.program.limits;
        let slot = &mut self.slots[balancer.0 as usize];
        slot.config = json!({
            "name": slot.files.name(), "listen": slot.listen, "discovery": start.discovery,
            "seed": format!("{:016x}", start.seed),
            "limits": {"cores": self.cores, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": start.known, "settings": start.settings,
        });
        slot.files.configure(&slot.config)?;
        let mut program = self.program.clone();
        program.args.extend_from_slice(&slot.args);
        let process = Process::start(&program, &slot.files, slot.listen, start.discovery)?;
        let incarnation = self.lives.len();
        let watched = net.watch(process.end(), Role::Exit(balancer, incarnation));
        let key = watched.map_err(|e| ProcessError::Watch(process.id(), e))?;
        let ordered = Ordered::Nothing;
        slot.running = Some(Running {
            process,
            key,
            ordered,
            ready: None,
            needs_reload: false,
            ping: None,
            due: now,
            incarnation,
        });
        self.lives.push(ProcessIncarnation {
            balancer: balancer.0,
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
    pub fn terminate(&mut self, balancer: BalancerId) {
        if let Some(running) = &mut self.slots[balancer.0 as usize].running {
            running.ordered = Ordered::Term;
            running.process.terminate();
        }
    }

    /// SIGSTOP, or SIGCONT where it is to go on. One that does not run stays as it is.
    pub fn stall(&mut self, balancer: BalancerId, stops: bool) {
        if let Some(running) = &self.slots[balancer.0 as usize].running {
            if stops { running.process.stop() } else { running.process.go_on() }
        }
    }

    /// SIGKILL. The system needs milliseconds to end a process with many connections; its end is told later, so
    /// that nobody waits for it here.
    pub fn kill(&mut self, balancer: BalancerId) {
        let Some(running) = &mut self.slots[balancer.0 as usize].running else { return };
        running.process.look();
        running.ordered = Ordered::Kill;
        running.ready = None;
        running.due = Micros::MAX;
        running.process.kill();
    }

    /// Replaces the configuration with one that names this address of discovery, and sends SIGHUP, in its first
    /// second a little later.
    ///
    /// # Errors
    ///
    /// Fails if the configuration cannot be written.
    pub fn reload(
        &mut self,
        now: Micros,
        balancer: BalancerId,
        discovery: SocketAddr,
    ) -> Result<(), ProcessError> {
        let slot = &mut self.slots[balancer.0 as usize];
        let Some(running) = &mut slot.running else { return Ok(()) };
        slot.config["discovery"] = json!(discovery);
        slot.files.configure(&slot.config)?;
        running.needs_reload = true;
        running.signal_reload(now);
        Ok(())
    }

    /// A balancer's process has ended in this life; tells the world if that was not its order to kill.
    pub fn on_process_exited(
        &mut self,
        net: &mut Net,
        now: Micros,
        balancer: BalancerId,
        incarnation: usize,
        observations: &mut Observations,
    ) {
        // The next life may have begun meanwhile.
        let running =
            self.slots[balancer.0 as usize].running.as_ref().filter(|r| r.incarnation == incarnation);
        let Some(ordered) = running.map(|r| r.ordered) else { return };
        if ordered != Ordered::Kill {
            observations.push((balancer, FromBalancer::Exited.into()));
        }
        self.remove_process(net, now, balancer);
    }

    /// Takes a process that has ended, or was killed, off its post.
    fn remove_process(&mut self, net: &mut Net, now: Micros, balancer: BalancerId) {
        let Some(mut running) = self.slots[balancer.0 as usize].running.take() else { return };
        net.unwatch(running.process.end().as_fd(), running.key);
        if let Some(ping) = running.ping.take() {
            net.close(ping, End::Reset);
        }
        let incarnation = &mut self.lives[running.incarnation];
        let status = running.process.exited();
        (incarnation.ended, incarnation.usage) = (Some(now), running.process.usage());
        incarnation.how = match (running.ordered, status) {
            (Ordered::Kill, _) => "killed as ordered".to_owned(),
            (_, Some(status)) => status.to_string(),
            (_, None) => "gone".to_owned(),
        };
        let fine = running.ordered == Ordered::Kill
            || (running.ordered == Ordered::Term && status.is_some_and(|s| s.success()));
        incarnation.crashed = !fine;
        // Dropped here, the process is waited for.
    }

    /// The answer to the question whether a balancer is ready, or the end of the connection.
    pub fn on_ping_ready(
        &mut self,
        net: &mut Net,
        now: Micros,
        balancer: BalancerId,
        ready: Ready,
        observations: &mut Observations,
    ) {
        let Some(running) = &mut self.slots[balancer.0 as usize].running else { return };
        let Some(ping) = &mut running.ping else { return };
        ping.on_ready(net, ready);
        let answered = matches!(ping.next_line(), Ok(Some(b"PONG")));
        if answered {
            running.ready = Some(now);
            self.lives[running.incarnation].ready = Some(now);
            observations.push((balancer, FromBalancer::Ready.into()));
        }
        if (answered || ping.ended().is_some()) && running.ping.is_some() {
            let ping = running.ping.take().expect("it was just there");
            net.close(ping, End::Fin);
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Micros {
        self.slots.iter().filter_map(|p| p.running.as_ref()).map(|r| r.due).min().unwrap_or(Micros::MAX)
    }

    /// Does what is due: asks who has not answered, looks at what the others use, and kills who uses too much.
    pub fn run_due(&mut self, net: &mut Net, now: Micros, late: &mut Distribution) {
        for (balancer, slot) in self.slots.iter_mut().enumerate() {
            let Some(running) = slot.running.as_mut().filter(|r| r.due <= now) else { continue };
            late.record(now - running.due);
            if running.ready.is_some() {
                running.due = now + USAGE_POLL_INTERVAL;
                running.signal_reload(now);
                if running.process.look() {
                    self.faults.push(format!("{} over its memory, killed", slot.files.name()));
                    running.process.kill();
                }
                continue;
            }
            running.due = now + READY_POLL_INTERVAL;
            if running.ping.is_none()
                && let Ok(mut connection) = net.connect(slot.listen, Role::Ping(BalancerId(balancer as u32)))
            {
                connection.send(net, b"PING\r\n");
                running.ping = Some(connection);
            }
        }
    }

    /// Ends all that still run, by SIGKILL.
    pub fn stop(&mut self, net: &mut Net, now: Micros) {
        for balancer in (0..self.slots.len() as u32).map(BalancerId) {
            self.kill(balancer);
            self.remove_process(net, now, balancer);
        }
    }
}
