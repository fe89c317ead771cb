//! Discovery: watches that tell the whole list whenever it has changed, and an empty line every 2 s.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};

use crate::run::World;

/// How often a watch says that nothing has changed.
const QUIET: Duration = Duration::from_secs(2);

/// The list, and who waits for its changes.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    list: Mutex<EndpointList>,
    changed: Condvar,
}

impl Discovery {
    /// Discovery that listens and knows this list.
    pub fn start(endpoints: Vec<Endpoint>, world: &Arc<World>) -> std::io::Result<Arc<Discovery>> {
        let listener = TcpListener::bind((crate::run::loopback(2), 0))?;
        let list = Mutex::new(EndpointList { index: 1, snapshot: true, endpoints });
        let discovery =
            Arc::new(Discovery { address: listener.local_addr()?, list, changed: Condvar::new() });
        let (accepting, world) = (Arc::clone(&discovery), Arc::clone(world));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if world.is_over() {
                    return;
                }
                let (discovery, world) = (Arc::clone(&accepting), Arc::clone(&world));
                // Fails with the connection, or when its process has ended.
                std::thread::spawn(move || drop(discovery.watch(&stream, &world)));
            }
        });
        Ok(discovery)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The list as it stands.
    pub fn list(&self) -> EndpointList {
        self.list.lock().expect("no panic").clone()
    }

    /// Lists a server with another status.
    pub fn set_status(&self, server: usize, status: &str) {
        let mut list = self.list.lock().expect("no panic");
        list.endpoints[server].status = status.to_owned();
        list.index += 1;
        self.changed.notify_all();
    }

    fn watch(&self, stream: &TcpStream, world: &World) -> std::io::Result<()> {
        let mut head = BufReader::new(stream);
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            if head.read_line(&mut line)? == 0 {
                return Ok(());
            }
        }
        let mut writer = stream;
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = 0;
        while !world.is_over() {
            let list = self.list.lock().expect("no panic");
            let unchanged = |list: &mut EndpointList| list.index == told;
            let (list, waited) = self.changed.wait_timeout_while(list, QUIET, unchanged).expect("no panic");
            let text = if waited.timed_out() {
                "\n".to_owned()
            } else {
                told = list.index;
                format!("{}\n", serde_json::to_string(&*list)?)
            };
            drop(list);
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        }
        Ok(())
    }
}
