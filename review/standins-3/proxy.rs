//! A TCP proxy that holds back everything while the machine behind it is cut off.

use crate::platform::sleep_ms;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(addr: SocketAddr, server: SocketAddr) -> Self {
        let proxy = Self { addr, is_cut: Arc::default() };
        let listener = TcpListener::bind(addr).expect("the port is free");
        let is_cut = proxy.is_cut.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let is_cut = is_cut.clone();
                std::thread::spawn(move || {
                    wait(&is_cut);
                    let Ok(server) = TcpStream::connect(server) else { return };
                    server.set_nodelay(true).ok();
                    client.set_nodelay(true).ok();
                    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
                        return;
                    };
                    let other_cut = is_cut.clone();
                    std::thread::spawn(move || pass(from, to, &other_cut));
                    pass(server, client, &is_cut);
                });
            }
        });
        proxy
    }

    /// Silently holds back all bytes, of open and of new connections, or passes them on again.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        sleep_ms(5);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(bytes) = from.read(&mut chunk) {
        wait(is_cut);
        if bytes == 0 || to.write_all(&chunk[..bytes]).is_err() {
            break;
        }
    }
    to.shutdown(Shutdown::Write).ok();
}
