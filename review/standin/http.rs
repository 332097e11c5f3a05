//! A small HTTP/1.1 server with keep-alive; one thread for each connection.

use std::{
    collections::HashMap,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A request.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// Status and body of a response.
pub type Response = (u16, String);

/// Serves requests until the process ends.
pub fn serve(
    address: SocketAddr,
    headers: &'static str,
    handle: impl Fn(Request) -> Response + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).expect("bind an HTTP listener");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, headers, &*handle));
        }
    });
}

fn serve_connection(stream: TcpStream, headers: &str, handle: &impl Fn(Request) -> Response) {
    let _ = stream.set_nodelay(true);
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = handle(request);
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        if write.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let target = line.split(' ').nth(1)?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        Some((name.to_owned(), percent_decode(value)))
    });
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next(), rest.next()].map(|digit| digit.unwrap_or(b'0'));
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
