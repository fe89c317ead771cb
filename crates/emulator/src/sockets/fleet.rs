//! The balancers' processes: starts, stops and reloads them, detects when they are ready, and records each incarnation.
//!
//! A restarted balancer keeps its name and address, but no state. An exit that was not requested counts as a crash.

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

/// The interval at which a balancer that has not become ready is sent a `PING`.
const READY_POLL_INTERVAL: Micros = 20_000;
/// The interval at which memory, CPU time and descriptors of a process are sampled.
const USAGE_POLL_INTERVAL: Micros = 250_000;
/// SIGHUP is sent no sooner than this after a balancer became ready: until it has installed a handler, the signal would
/// end the process.
const MIN_RELOAD_DELAY: Micros = 1_000_000;

/// One incarnation of a balancer's process; times are on the driver's clock.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessIncarnation {
    /// The balancer's index.
    pub balancer: u32,
    /// When the process was started.
    pub began: Micros,
    /// When it first answered a `PING`.
    pub ready: Option<Micros>,
    /// When it exited.
    pub ended: Option<Micros>,
    /// How it exited, as text; empty while it runs.
    pub how: String,
    /// Whether it exited without having been requested to, or with an error after SIGTERM.
    pub crashed: bool,
    /// The resources it has used.
    pub usage: Usage,
}

/// The exit that has been requested from a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RequestedExit {
    #[default]
    None,
    Terminate,
    Kill,
}

/// The configuration with which a balancer is started.
#[derive(Clone, Debug)]
pub struct StartConfig {
    /// The seed of its random numbers.
    pub seed: u64,
    /// The endpoint list as it last had it.
    pub known: EndpointList,
    /// Its settings.
    pub settings: Value,
    /// The address of discovery.
    pub discovery: SocketAddr,
}

#[derive(Debug)]
struct Running {
    process: Process,
    key: DefaultKey,
    requested_exit: RequestedExit,
    /// When it became ready.
    ready: Option<Micros>,
    /// Whether its configuration has been replaced and SIGHUP is still to be sent.
    needs_reload: bool,
    /// The connection of a `PING` that has not been answered.
    ping: Option<LineConnection>,
    /// When the next `PING` or sample of its usage is due.
    due: Micros,
    /// The index of its incarnation.
    incarnation: usize,
}

impl Running {
    fn signal_reload(&mut self, now: Micros) {
        if self.needs_reload && self.ready.is_some_and(|ready| now >= ready + MIN_RELOAD_DELAY) {
            self.needs_reload = false;
            self.process.send_hangup();
        }
    }
}

#[derive(Debug)]
struct BalancerSlot {
    files: ProcessFiles,
    listen: SocketAddr,
    /// A bound socket that never listens; it keeps the port reserved while the balancer does not run.
    _port_reservation: Socket,
    config: Value,
    /// Arguments in addition to the program's.
    args: Vec<OsString>,
    running: Option<Running>,
}

/// The processes of all balancers.
#[derive(Debug)]
pub struct Fleet {
    program: Program,
    cores: f64,
    slots: Vec<BalancerSlot>,
    /// All incarnations, in the order of their starts.
    pub incarnations: Vec<ProcessIncarnation>,
    /// Violations of limits that ended a process.
    pub violations: Vec<String>,
}

impl Fleet {
    /// Prepares this number of balancers, with their files in `folder`; starts none.
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
            let files = ProcessFiles::new(folder, &Directory::balancer_name(balancer))?;
            let reservation = || -> io::Result<(Socket, SocketAddr)> {
                let reservation = Socket::new(Domain::IPV4, Type::STREAM, None)?;
                reservation.set_reuse_address(true)?;
                reservation.bind(&addresses.balancer(balancer).into())?;
                let address = reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
                Ok((reservation, address))
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
        Ok(Fleet { program, cores, slots, incarnations: Vec::new(), violations: Vec::new() })
    }

    /// Sets additional arguments of single balancers, by index, for later starts.
    pub fn set_balancer_args(&mut self, args: &[Vec<OsString>]) {
        self.slots.iter_mut().zip(args).for_each(|(slot, args)| slot.args.clone_from(args));
    }

    /// Sets the program's arguments for later starts.
    pub fn set_args(&mut self, args: Vec<OsString>) {
        self.program.args = args;
    }

    /// The address at which a balancer listens for clients.
    pub fn address(&self, balancer: BalancerId) -> SocketAddr {
        self.slots[balancer.0 as usize].listen
    }

    /// Whether a balancer runs and has answered a `PING`.
    pub fn is_ready(&self, balancer: BalancerId) -> bool {
        self.slots[balancer.0 as usize].running.as_ref().is_some_and(|r| r.ready.is_some())
    }

    /// A balancer's configuration and log files.
    pub fn files(&self, balancer: BalancerId) -> &ProcessFiles {
        &self.slots[balancer.0 as usize].files
    }

    /// The id of a balancer's process, while it runs.
    pub fn pid(&self, balancer: BalancerId) -> Option<u32> {
        self.slots[balancer.0 as usize].running.as_ref().map(|r| r.process.id())
    }

    /// Samples and returns the resources that a balancer's process has used so far; zero while it does not run.
    pub fn sample_usage(&mut self, balancer: BalancerId) -> Usage {
        match &mut self.slots[balancer.0 as usize].running {
            Some(running) => {
                running.process.sample_usage();
                running.process.usage()
            }
            None => Usage::default(),
        }
    }

    /// Starts a balancer. A process of it that still runs is killed and waited for first.
    ///
    /// # Errors
    ///
    /// Fails if the configuration cannot be written, or the process cannot be started or watched.
    pub fn start(
        &mut self,
        net: &mut Net,
        now: Micros,
        balancer: BalancerId,
        start: &StartConfig,
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
        slot.files.write_config(&slot.config)?;
        let mut program = self.program.clone();
        program.args.extend_from_slice(&slot.args);
        let process = Process::start(&program, &slot.files, slot.listen, start.discovery)?;
        let incarnation = self.incarnations.len();
        let watched = net.watch(process.exit_fd(), Role::Exit(balancer, incarnation));
        let key = watched.map_err(|e| ProcessError::Watch(process.id(), e))?;
        let requested_exit = RequestedExit::None;
        slot.running = Some(Running {
            process,
            key,
            requested_exit,
            ready: None,
            needs_reload: false,
            ping: None,
            due: now,
            incarnation,
        });
        self.incarnations.push(ProcessIncarnation {
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

    /// Requests a planned exit with SIGTERM.
    pub fn terminate(&mut self, balancer: BalancerId) {
        if let Some(running) = &mut self.slots[balancer.0 as usize].running {
            running.requested_exit = RequestedExit::Terminate;
            running.process.terminate();
        }
    }

    /// Stops a process with SIGSTOP, or continues it with SIGCONT. Does nothing if the balancer does not run.
    pub fn set_stopped(&mut self, balancer: BalancerId, stopped: bool) {
        if let Some(running) = &self.slots[balancer.0 as usize].running {
            if stopped { running.process.stop() } else { running.process.resume() }
        }
    }

    /// Kills a process with SIGKILL, and does not wait for its exit, which takes milliseconds if it has many
    /// connections; [`Fleet::on_process_exited`] handles it.
    pub fn kill(&mut self, balancer: BalancerId) {
        let Some(running) = &mut self.slots[balancer.0 as usize].running else { return };
        running.process.sample_usage();
        running.requested_exit = RequestedExit::Kill;
        running.ready = None;
        running.due = Micros::MAX;
        running.process.kill();
    }

    /// Writes a configuration with this address of discovery, and sends SIGHUP; not before `MIN_RELOAD_DELAY` has
    /// passed since the balancer became ready.
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
        slot.files.write_config(&slot.config)?;
        running.needs_reload = true;
        running.signal_reload(now);
        Ok(())
    }

    /// Handles the exit of an incarnation of a balancer's process, and reports it unless the process was to be killed.
    pub fn on_process_exited(
        &mut self,
        net: &mut Net,
        now: Micros,
        balancer: BalancerId,
        incarnation: usize,
        observations: &mut Observations,
    ) {
        // The next incarnation may have been started already.
        let running =
            self.slots[balancer.0 as usize].running.as_ref().filter(|r| r.incarnation == incarnation);
        let Some(requested) = running.map(|r| r.requested_exit) else { return };
        if requested != RequestedExit::Kill {
            observations.push((balancer, FromBalancer::Exited.into()));
        }
        self.remove_process(net, now, balancer);
    }

    /// Removes a process that has exited or been killed, and completes the record of its incarnation.
    fn remove_process(&mut self, net: &mut Net, now: Micros, balancer: BalancerId) {
        let Some(mut running) = self.slots[balancer.0 as usize].running.take() else { return };
        net.unwatch(running.process.exit_fd().as_fd(), running.key);
        if let Some(ping) = running.ping.take() {
            net.close(ping, End::Reset);
        }
        let incarnation = &mut self.incarnations[running.incarnation];
        let status = running.process.exit_status();
        (incarnation.ended, incarnation.usage) = (Some(now), running.process.usage());
        incarnation.how = match (running.requested_exit, status) {
            (RequestedExit::Kill, _) => "killed as ordered".to_owned(),
            (_, Some(status)) => status.to_string(),
            (_, None) => "unknown exit status".to_owned(),
        };
        let is_expected = running.requested_exit == RequestedExit::Kill
            || (running.requested_exit == RequestedExit::Terminate && status.is_some_and(|s| s.success()));
        incarnation.crashed = !is_expected;
        // Dropping the process waits for its exit.
    }

    /// Handles readiness of a `PING` connection: the answer, or the end of the connection.
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
            self.incarnations[running.incarnation].ready = Some(now);
            observations.push((balancer, FromBalancer::Ready.into()));
        }
        if (answered || ping.ended().is_some()) && running.ping.is_some() {
            let ping = running.ping.take().expect("the ping is there");
            net.close(ping, End::Fin);
        }
    }

    /// The time of the next due `PING` or sample of usage.
    pub fn next_due(&self) -> Micros {
        self.slots.iter().filter_map(|p| p.running.as_ref()).map(|r| r.due).min().unwrap_or(Micros::MAX)
    }

    /// Sends a `PING` to balancers that are not ready, samples the usage of the others and kills those that exceed their
    /// memory limit; records the lateness of each in `late`.
    pub fn run_due(&mut self, net: &mut Net, now: Micros, late: &mut Distribution) {
        for (balancer, slot) in self.slots.iter_mut().enumerate() {
            let Some(running) = slot.running.as_mut().filter(|r| r.due <= now) else { continue };
            late.record(now - running.due);
            if running.ready.is_some() {
                running.due = now + USAGE_POLL_INTERVAL;
                running.signal_reload(now);
                if running.process.sample_usage() {
                    let name = slot.files.name();
                    self.violations.push(format!("{name} killed: resident memory exceeds its limit"));
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

    /// Kills all processes that still run and waits for their exit.
    pub fn stop(&mut self, net: &mut Net, now: Micros) {
        for balancer in (0..self.slots.len() as u32).map(BalancerId) {
            self.kill(balancer);
            self.remove_process(net, now, balancer);
        }
    }
}
