//! The discovery service. Its watches send the whole list whenever it has changed, and an empty line every 2 s without a
//! change.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};

use crate::loopback::{self, Listener};
use crate::recorder::Recorder;

/// The time without a change after which a watch sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The endpoint list, and the condition that watches wait for.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    list: Mutex<EndpointList>,
    changed: Condvar,
}

impl Discovery {
    /// Starts discovery with a list of endpoints. It serves until the run is over.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(endpoints: Vec<Endpoint>, recorder: &Arc<Recorder>) -> std::io::Result<Arc<Discovery>> {
        let listener = TcpListener::bind((loopback::address(Listener::Discovery), 0))?;
        let list = Mutex::new(EndpointList { index: 1, snapshot: true, endpoints });
        let discovery =
            Arc::new(Discovery { address: listener.local_addr()?, list, changed: Condvar::new() });
        let (accepting, recorder) = (Arc::clone(&discovery), Arc::clone(recorder));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if recorder.is_over() {
                    return;
                }
                let (discovery, recorder) = (Arc::clone(&accepting), Arc::clone(&recorder));
                // Serving a watch ends with an error when its connection or the balancer's process has ended.
                std::thread::spawn(move || drop(discovery.serve_watch(&stream, &recorder)));
            }
        });
        Ok(discovery)
    }

    /// The address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the status of a server in the list.
    pub fn set_status(&self, server: usize, status: &str) {
        let mut list = self.list.lock().expect("no panic");
        list.endpoints[server].status = status.to_owned();
        list.index += 1;
        self.changed.notify_all();
    }

    fn serve_watch(&self, stream: &TcpStream, recorder: &Recorder) -> std::io::Result<()> {
        if !read_request_head(stream)? {
            return Ok(());
        }
        let mut writer = stream;
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut sent_index = 0;
        while !recorder.is_over() {
            let list = self.list.lock().expect("no panic");
            let is_unchanged = |list: &mut EndpointList| list.index == sent_index;
            let waited = self.changed.wait_timeout_while(list, HEARTBEAT_INTERVAL, is_unchanged);
            let (list, waited) = waited.expect("no panic");
            let text = if waited.timed_out() {
                "\n".to_owned()
            } else {
                sent_index = list.index;
                format!("{}\n", serde_json::to_string(&*list)?)
            };
            drop(list);
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        }
        Ok(())
    }
}

/// Reads the head of a request up to and including its empty line; returns `false` if the connection ends before.
fn read_request_head(stream: &TcpStream) -> std::io::Result<bool> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
    }
    Ok(true)
}
