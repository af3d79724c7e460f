//! Measures the time from the end of a file's rewrite to the adoption of the file, and, as the lower bound, the time to
//! the first event of a plain watcher on the same rewrites. Prints the quantiles of both, and the longest time to
//! adoption as a ratio to its bound of 250 ms.

use std::fs;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use notify::{RecursiveMode, Watcher};
use ochrelead_core::time::Moment;
use ochrelead_discovery::reloader::EndpointReloader;
use ochrelead_discovery::watch;

const REWRITES: u64 = 2_000;
/// The shortest time between the starts of two rewrites.
const REWRITE_INTERVAL: Duration = Duration::from_millis(10);

fn fleet_text(generation: u64) -> String {
    let server = |index: u64| {
        format!(
            "server {{ name: \"s{index}\" address: \"127.0.0.1:{}\" number: {index} weight: 2 }}\n",
            10 + index
        )
    };
    let servers: String = (0..5).map(server).collect();
    format!("generation: {generation}\n{servers}end: {generation}\n")
}

fn main() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("adoption");
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder of our own");
    let file = folder.join("a.textproto");
    fs::write(&file, fleet_text(1)).expect("a file of our own");
    let read_files = watch::start(folder.clone()).expect("a thread");
    let (event_sender, events) = mpsc::channel();
    let mut watcher = notify::recommended_watcher(move |_| event_sender.send(Instant::now()).unwrap_or(()))
        .expect("a watcher");
    watcher.watch(&folder, RecursiveMode::NonRecursive).expect("a folder to watch");
    thread::sleep(Duration::from_millis(200));
    let mut reloader = EndpointReloader::new(vec!["check".to_owned()], None);
    let histogram = || Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).expect("sound bounds");
    let (mut first_event, mut adopted) = (histogram(), histogram());
    let start = Instant::now();
    for generation in 2..REWRITES + 2 {
        while events.try_recv().is_ok() {}
        fs::write(&file, fleet_text(generation)).expect("a file of our own");
        let written = Instant::now();
        if let Ok(event) = events.recv_timeout(Duration::from_millis(50)) {
            let _ = first_event.record(event.saturating_duration_since(written).as_micros().max(1) as u64);
        }
        while reloader.in_force().generation() != generation && written.elapsed() < Duration::from_secs(1) {
            match read_files.try_recv() {
                Ok(files) => {
                    let now = Moment::from_micros(start.elapsed().as_micros() as u64);
                    drop(reloader.handle_files(now, files));
                }
                Err(_) => thread::sleep(Duration::from_micros(20)),
            }
        }
        let _ = adopted.record(written.elapsed().as_micros() as u64);
        thread::sleep(REWRITE_INTERVAL.saturating_sub(written.elapsed()));
    }
    for (name, times) in [("first event", &first_event), ("adopted", &adopted)] {
        let quantile = |share| times.value_at_quantile(share);
        println!(
            "{name}: {} cases, p50 {} us, p99 {} us, most {} us",
            times.len(),
            quantile(0.5),
            quantile(0.99),
            times.max()
        );
    }
    println!("most against the bound of 250 ms: {:.3}", adopted.max() as f64 / 250_000.0);
}
