//! Connections with the window and the segments of a network path.

use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

/// The receive buffer that a client asks for, which Linux doubles, and how long the path takes there
/// and back.
pub const WINDOW_BYTES: usize = 8 * 1024;
pub const ROUND_TRIP: Duration = Duration::from_millis(16);
/// The segment size of an ordinary network.
const SEGMENT_BYTES: i32 = 1_400;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(fd: i32, addr: *const SockAddrIn, length: u32) -> i32;
}

/// Opens a connection with the segments and the window of a network path. The standard library
/// cannot set these before it connects.
pub fn try_connect(addr: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(addr) = addr else { return None };
    let (ip, port) = (addr.ip().octets(), addr.port().to_be_bytes());
    let target = SockAddrIn { family: AF_INET as u16, port, ip, zero: [0; 8] };
    // The kernel doubles the size of the buffer, for its own use.
    let (segment, window) = (SEGMENT_BYTES, WINDOW_BYTES as i32);
    // SAFETY: the pointers are valid for the calls, and the stream owns the new descriptor.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, 4);
        let is_connected = connect_socket(fd, &target, size_of::<SockAddrIn>() as u32) == 0;
        is_connected.then_some(stream)
    }
}

/// Like [`try_connect`]; the case cannot run without the connection.
pub fn connect(addr: SocketAddr) -> TcpStream {
    try_connect(addr).unwrap_or_else(|| {
        eprintln!("no connection to {addr}");
        crate::daemon::exit(2)
    })
}
