//! Benchmarks parsing and encoding of a set-up command and its response.

use criterion::{Criterion, criterion_group, criterion_main};
use ochrelead_mgcp::{parse, write};
use std::hint::black_box;

const SET_UP: &[u8] = b"CRCX 1204 trunk/$@s1.example MGCP 1.0\r\nC: A3C47F21456789F0\r\nM: sendrecv\r\n\
    L: p:20, a:PCMU\r\nX-Try: A3C47F21456789F0\r\n";
const ANSWER: &[u8] =
    b"200 1204 OK\r\nI: FDE234C8\r\nZ: trunk/5@s1.example\r\nX-Lines: 31/200\r\nX-Can-Take: 71.5\r\n";

fn grammar(criterion: &mut Criterion) {
    for (name, bytes) in [("set-up", SET_UP), ("answer", ANSWER)] {
        criterion.bench_function(&format!("parse {name}"), |b| b.iter(|| parse::datagram(black_box(bytes))));
        let messages: Vec<_> = parse::datagram(bytes).unwrap().into_iter().flatten().collect();
        criterion
            .bench_function(&format!("write {name}"), |b| b.iter(|| write::datagram(black_box(&messages))));
    }
}

criterion_group!(benches, grammar);
criterion_main!(benches);
