//! The answers to all result codes as they leave a gate, and the gate's bounds, against golden files.
//! `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use transport::{HttpServer, HttpServerBounds, Response};
use types::{Milliseconds, ResultCode};

/// Nothing is judged by it: it ends a test that would hang.
const GUARD: Duration = Duration::from_secs(30);

/// A gate that answers the path `/N` with the result code of this number, and `/N/late` with a later time to come back.
fn open_server() -> SocketAddr {
    let any = "127.0.0.1:0".parse().expect("an address");
    let http_server = HttpServer::open(any, HttpServerBounds::default()).expect("a gate");
    let address = http_server.address().0;
    std::thread::spawn(move || {
        http_server.serve(|request| {
            let parts = request.path_segments();
            let number: u16 = parts[0].parse().expect("a number");
            let code = ResultCode::ALL.iter().find(|code| code.number() == number);
            let code = *code.expect("a result code");
            match parts.len() {
                1 => Response::result(code, "because"),
                _ => Response::result_after(code, "because", Milliseconds(2500)),
            }
        });
    });
    address
}

/// Status line, headers in order of their names but the date, and body.
fn answer(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(GUARD)).expect("set");
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head and a body");
    let (status, headers) = head.split_once("\r\n").expect("headers");
    let mut headers: Vec<String> = headers
        .split("\r\n")
        .map(str::to_ascii_lowercase)
        .filter(|header| !header.starts_with("date:"))
        .collect();
    headers.sort();
    format!("{status} | {} | {body}", headers.join(" | "))
}

#[test]
fn each_result_code_has_its_golden_answer() {
    let address = open_server();
    let paths = ResultCode::ALL.iter().flat_map(|code| {
        let path = format!("/{}", code.number());
        [path.clone(), format!("{path}/late")]
    });
    let answers: Vec<String> = paths.map(|path| answer(address, &path)).collect();
    golden_file::compare_json_lines("answers.txt", &answers);
}

#[test]
fn the_bounds_of_a_gate_are_as_ever() {
    golden_file::compare_text(
        "bounds.txt",
        &golden_file::values_of(&HttpServerBounds::default()),
    );
}
