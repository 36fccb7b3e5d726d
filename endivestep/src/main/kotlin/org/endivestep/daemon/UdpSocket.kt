package org.endivestep.daemon

import org.endivestep.settings.Address
import java.net.DatagramSocket
import java.net.InetAddress

/** Opens a socket for datagrams at the port of [inner] plus [portOffset]. Throws [java.io.IOException] if that port is in use. */
internal fun udpSocket(inner: Address, portOffset: Int = 0): DatagramSocket =
    DatagramSocket(inner.port + portOffset, InetAddress.getByName(inner.host))
