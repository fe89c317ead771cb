//! The driver's poll: registers its descriptors with their roles, waits, and reports which are ready.
//!
//! It uses `mio` rather than `calloop` because the driver owns all its parts and passes events to them one after the
//! other; callbacks owned by an event loop would need a way to refer back to those parts.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd};
use std::time::Duration;

use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use rustix::time::{
    Itimerspec, TimerfdClockId, TimerfdFlags, TimerfdTimerFlags, Timespec, timerfd_create, timerfd_settime,
};
use slotmap::{DefaultKey, Key, KeyData, SlotMap};
use socket2::{Domain, SockRef, Socket, Type};

use crate::edge::{BalancerId, ConnId, LinkId, NodeId};

/// The length of a listener's accept queue. It is large because a restart makes all clients reconnect at once.
const BACKLOG: i32 = 4096;
/// The number of events that one wait returns; others are returned by the next wait.
const EVENTS: usize = 1024;
/// The number of bytes that are read from a connection at once, before others are served.
const READ_BYTES: usize = 256 << 10;
/// The number of unused buffers that are kept for reuse.
const SPARE_BUFFERS: usize = 1024;
/// Buffers with a larger capacity are freed instead of being kept.
const MAX_SPARE_CAPACITY: usize = 16 << 10;

/// What a descriptor is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A client's connection to its balancer.
    Client(ConnId),
    /// The connection of the misbehaving client with this number.
    MisbehavingClient(u64),
    /// A balancer's connection to a node.
    Link(LinkId),
    /// The connection of the discovery call with this number.
    Call(u64),
    /// The connection on which a balancer is asked with a `PING` whether it is ready.
    Ping(BalancerId),
    /// A node's listener for a balancer.
    NodeListener(BalancerId, NodeId),
    /// Discovery's listener for a balancer, after this number of changes of address.
    DiscoveryListener(BalancerId, u32),
    /// The gossip proxy's socket for datagrams to a balancer.
    DatagramProxy(BalancerId),
    /// The exit descriptor of a balancer's process, with the index of its incarnation.
    Exit(BalancerId, usize),
    /// The connection of the load generator's client with this number.
    Load(u32),
    /// The timer that ends waits.
    Timer,
}

/// The readiness of a descriptor.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// What the descriptor is used for.
    pub role: Role,
    /// Whether it can be read or has failed.
    pub read: bool,
    /// Whether it can be written or has failed.
    pub write: bool,
}

/// A registered TCP listener.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    key: DefaultKey,
}

/// The registered descriptors with their roles, and buffers shared by all connections.
#[derive(Debug)]
pub struct Net {
    poll: Poll,
    events: Events,
    roles: SlotMap<DefaultKey, Role>,
    /// The buffer into which all connections are read.
    pub(super) scratch: Vec<u8>,
    spare: Vec<Vec<u8>>,
    /// Roles to report as readable after the next wait although the poll reports no new event.
    requeued: Vec<Role>,
    /// Whether descriptors, or memory for them, have run out at least once.
    had_shortage: bool,
    /// Ends waits with a resolution below a millisecond, which the poll's timeout does not have.
    timer: OwnedFd,
}

impl Net {
    /// Creates a poll with only its timer registered.
    ///
    /// # Errors
    ///
    /// Fails if the poll or the timer cannot be created.
    pub fn new() -> io::Result<Self> {
        let timer =
            timerfd_create(TimerfdClockId::Monotonic, TimerfdFlags::NONBLOCK | TimerfdFlags::CLOEXEC)?;
        let mut net = Net {
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS),
            roles: SlotMap::new(),
            scratch: vec![0; READ_BYTES],
            spare: Vec::new(),
            requeued: Vec::new(),
            had_shortage: false,
            timer,
        };
        let fd = net.timer.as_raw_fd();
        net.register(&mut SourceFd(&fd), Interest::READABLE, Role::Timer)?;
        Ok(net)
    }

    pub(super) fn register(
        &mut self,
        source: &mut dyn Source,
        interest: Interest,
        role: Role,
    ) -> io::Result<DefaultKey> {
        let key = self.roles.insert(role);
        let token = Token(key.data().as_ffi() as usize);
        self.poll.registry().register(source, token, interest).inspect_err(|_| {
            self.roles.remove(key);
        })?;
        Ok(key)
    }

    pub(super) fn deregister(&mut self, source: &mut dyn Source, key: DefaultKey) {
        self.roles.remove(key);
        // An error is ignored: the caller closes the descriptor next, which removes it from the poll.
        let _ = self.poll.registry().deregister(source);
    }

    /// Listens at an address; with port 0, the operating system chooses the port. Connections of an earlier listener at
    /// the address may still exist.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on or the socket cannot be registered.
    pub fn listen(&mut self, address: SocketAddr, role: Role) -> io::Result<Listener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(socket.into());
        let key = self.register(&mut listener, Interest::READABLE, role)?;
        Ok(Listener { listener, key })
    }

    /// Registers a UDP socket for readability.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be registered.
    pub fn register_datagram_socket(&mut self, socket: &mut UdpSocket, role: Role) -> io::Result<()> {
        self.register(socket, Interest::READABLE, role).map(drop)
    }

    /// Accepts the next pending connection of a listener; none if no connection waits or accepting fails.
    pub fn accept(&mut self, listener: &Listener) -> Option<TcpStream> {
        loop {
            match listener.listener.accept() {
                Ok((stream, _)) => return Some(stream),
                // The peer has closed the connection while it waited; the next one may be open.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.had_shortage |= is_shortage(&e);
                    return None;
                }
            }
        }
    }

    /// Records whether an error shows that descriptors have run out.
    pub(super) fn note_shortage(&mut self, error: &io::Error) {
        self.had_shortage |= is_shortage(error);
    }

    /// Whether descriptors have run out at least once. Connections were then lost by the driver, not by the balancers.
    pub fn ran_out_of_descriptors(&self) -> bool {
        self.had_shortage
    }

    /// Registers the exit descriptor of a process.
    ///
    /// # Errors
    ///
    /// Fails if the descriptor cannot be registered.
    pub fn watch(&mut self, fd: &OwnedFd, role: Role) -> io::Result<DefaultKey> {
        self.register(&mut SourceFd(&fd.as_raw_fd()), Interest::READABLE, role)
    }

    /// Deregisters the exit descriptor of a process.
    pub fn unwatch(&mut self, fd: BorrowedFd<'_>, key: DefaultKey) {
        self.deregister(&mut SourceFd(&fd.as_raw_fd()), key);
    }

    /// Closes a listener and returns its address. Connections that wait to be accepted are reset, new ones refused.
    pub fn close_listener(&mut self, mut listener: Listener) -> SocketAddr {
        let address = listener.address();
        self.deregister(&mut listener.listener, listener.key);
        address
    }

    /// Returns an empty buffer, a kept one if there is one.
    pub(super) fn take_buffer(&mut self) -> Vec<u8> {
        self.spare.pop().unwrap_or_default()
    }

    /// Keeps a buffer for reuse, or frees it.
    pub(super) fn return_buffer(&mut self, mut buffer: Vec<u8>) {
        if (1..=MAX_SPARE_CAPACITY).contains(&buffer.capacity()) && self.spare.len() < SPARE_BUFFERS {
            buffer.clear();
            self.spare.push(buffer);
        }
    }

    /// Has a role reported as readable after the next wait although its descriptor has no new event.
    pub(super) fn requeue(&mut self, role: Role) {
        self.requeued.push(role);
    }

    /// Waits for readiness for at most `timeout`, and fills `ready` with what is ready.
    ///
    /// # Errors
    ///
    /// Fails if the timer cannot be set or polling fails.
    pub fn wait(&mut self, timeout: Duration, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let timeout = if self.requeued.is_empty() { timeout } else { Duration::ZERO };
        if !timeout.is_zero() {
            let (tv_sec, tv_nsec) = (timeout.as_secs() as i64, timeout.subsec_nanos().into());
            let once = Itimerspec {
                it_interval: Timespec { tv_sec: 0, tv_nsec: 0 },
                it_value: Timespec { tv_sec, tv_nsec },
            };
            timerfd_settime(&self.timer, TimerfdTimerFlags::empty(), &once)?;
        }
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => other?,
        }
        ready.extend(self.requeued.drain(..).map(|role| Ready { role, read: true, write: false }));
        for event in &self.events {
            let key = DefaultKey::from(KeyData::from_ffi(event.token().0 as u64));
            // A descriptor that was deregistered after the event has no role.
            let Some(role) = self.roles.get(key).copied().filter(|r| *r != Role::Timer) else { continue };
            let failed = event.is_error() || event.is_read_closed() || event.is_write_closed();
            ready.push(Ready {
                role,
                read: event.is_readable() || failed,
                write: event.is_writable() || failed,
            });
        }
        Ok(())
    }
}

impl Listener {
    /// The listener's address and port.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound listener has an address")
    }

    /// Makes new connections neither succeed nor fail, as at a machine that is cut off from the network: the accept queue
    /// is shortened to one and filled, so that the operating system drops further connections. Returns the connections
    /// that fill the queue.
    ///
    /// # Errors
    ///
    /// Fails if a socket call does.
    pub fn stop_accepting(&self) -> io::Result<Vec<std::net::TcpStream>> {
        SockRef::from(&self.listener).listen(0)?;
        let mut fillers = Vec::new();
        // One connection fills an empty queue; the second one makes sure of it.
        for _ in 0..2 {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            // Whether it is established or remains pending does not matter.
            let _ = socket.connect(&self.address().into());
            fillers.push(socket.into());
        }
        Ok(fillers)
    }

    /// Restores the length of the accept queue.
    ///
    /// # Errors
    ///
    /// Fails if a socket call does.
    pub fn resume_accepting(&self) -> io::Result<()> {
        SockRef::from(&self.listener).listen(BACKLOG)
    }
}

/// Whether an error means that the process or the system has run out of descriptors or memory for them.
fn is_shortage(e: &io::Error) -> bool {
    use rustix::io::Errno;
    [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM]
        .iter()
        .any(|n| e.raw_os_error() == Some(n.raw_os_error()))
}

/// Raises this process's limit of open descriptors to the hard limit, and returns the limit in force: a run needs two
/// descriptors for each connection.
pub fn raise_descriptors() -> u64 {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let found = getrlimit(Resource::Nofile);
    let raised = Rlimit { current: found.maximum, maximum: found.maximum };
    match setrlimit(Resource::Nofile, raised) {
        Ok(()) => found.maximum.unwrap_or(u64::MAX),
        Err(_) => found.current.unwrap_or(u64::MAX),
    }
}
