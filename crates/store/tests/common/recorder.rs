//! A proxy before a member of the replicated engine that keeps the requests which pass it.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Requests in the order in which they came, over all members, each as `PATH BODY`.
#[derive(Clone, Default)]
pub struct Recorder {
    requests: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    /// Listens before the member at `endpoint` (`http://HOST:PORT`), and returns the endpoint to call instead.
    pub fn before(&self, endpoint: &str) -> String {
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

    /// All requests so far, one a line.
    pub fn text(&self) -> String {
        self.requests.lock().unwrap().iter().map(|request| format!("{request}\n")).collect()
    }

    /// Passes on one connection. A request is kept before it is forwarded, so that it is there once it is answered.
    fn forward(&self, mut client: TcpStream, member: &str) -> io::Result<()> {
        let mut upstream = TcpStream::connect(member)?;
        let (mut answers, mut answered) = (upstream.try_clone()?, client.try_clone()?);
        std::thread::spawn(move || {
            let _ = io::copy(&mut answers, &mut answered);
            answered.shutdown(std::net::Shutdown::Both)
        });
        let (mut bytes, mut chunk) = (Vec::new(), [0; 65536]);
        loop {
            match client.read(&mut chunk)? {
                0 => return upstream.shutdown(std::net::Shutdown::Both),
                n => bytes.extend(&chunk[..n]),
            }
            while let Some(length) = self.keep(&bytes) {
                upstream.write_all(&bytes[..length])?;
                bytes.drain(..length);
            }
        }
    }

    /// Keeps the first request of `bytes`, if all of it is there, and returns its length.
    fn keep(&self, bytes: &[u8]) -> Option<usize> {
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
