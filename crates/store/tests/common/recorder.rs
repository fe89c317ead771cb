//! A proxy in front of members of the replicated engine that records the requests.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Records requests to all members in the order of their arrival, each as `PATH BODY`. Clones share the record.
#[derive(Clone, Default)]
pub struct Recorder {
    requests: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    /// Starts a proxy for the member at `endpoint` (`http://HOST:PORT`), and returns the endpoint to call instead.
    pub fn start_proxy(&self, endpoint: &str) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let member = endpoint.strip_prefix("http://").unwrap().to_owned();
        let recorder = self.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let (recorder, member) = (recorder.clone(), member.clone());
                std::thread::spawn(move || recorder.forward(client, &member));
            }
        });
        format!("http://{address}")
    }

    /// All requests so far, one per line.
    pub fn text(&self) -> String {
        self.requests.lock().unwrap().iter().map(|request| format!("{request}\n")).collect()
    }

    /// Forwards one connection. A request is recorded before it is forwarded, so that it is in the record when its
    /// response arrives.
    fn forward(&self, mut client: TcpStream, member: &str) -> io::Result<()> {
        let mut upstream = TcpStream::connect(member)?;
        let (mut responses, mut response_target) = (upstream.try_clone()?, client.try_clone()?);
        std::thread::spawn(move || {
            let _ = io::copy(&mut responses, &mut response_target);
            response_target.shutdown(std::net::Shutdown::Both)
        });
        let (mut bytes, mut chunk) = (Vec::new(), [0; 65536]);
        loop {
            match client.read(&mut chunk)? {
                0 => return upstream.shutdown(std::net::Shutdown::Both),
                n => bytes.extend(&chunk[..n]),
            }
            while let Some(length) = self.record_first(&bytes) {
                upstream.write_all(&bytes[..length])?;
                bytes.drain(..length);
            }
        }
    }

    /// Records the first request in `bytes` if it is complete, and returns its length.
    fn record_first(&self, bytes: &[u8]) -> Option<usize> {
        let head = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
        let text = std::str::from_utf8(&bytes[..head]).unwrap();
        let length = text.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length").then(|| value.parse::<usize>().unwrap())
        });
        let end = head + length.unwrap();
        let body = std::str::from_utf8(bytes.get(head..end)?).unwrap();
        let path = text.split(' ').nth(1).unwrap();
        self.requests.lock().unwrap().push(format!("{path} {body}"));
        Some(end)
    }
}
