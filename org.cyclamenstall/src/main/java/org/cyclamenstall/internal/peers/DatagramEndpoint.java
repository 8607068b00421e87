package org.cyclamenstall.internal.peers;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.kernel.EssentialThread;
import org.jspecify.annotations.Nullable;

/**
 * Sends and receives the datagrams of one exchange among daemons. A datagram that cannot
 * be sent or received is lost; the exchanges allow for that. Thread-safe.
 */
public final class DatagramEndpoint {

	/** Maximum size of a datagram with several messages, which avoids fragmentation. */
	public static final int MAXIMUM_BYTES = 1_400;

	private static final Logger logger = LogManager.getLogger(DatagramEndpoint.class);

	/** Size of the largest datagram that is received completely. */
	private static final int RECEIVE_BUFFER_BYTES = 9_000;

	private final InetSocketAddress address;

	private volatile @Nullable DatagramSocket socket;

	/**
	 * Creates an endpoint that is not open.
	 * @param address the address on which datagrams are received
	 */
	public DatagramEndpoint(InetSocketAddress address) {
		this.address = address;
	}

	/**
	 * Starts to receive.
	 * @param threadName the name of the receiving thread
	 * @param receiver receives the datagrams, on that thread
	 * @throws RouterException of kind {@code SETTINGS_INVALID} if the address cannot be
	 * bound
	 */
	public void open(String threadName, Receiver receiver) {
		try {
			DatagramSocket newSocket = new DatagramSocket(this.address);
			this.socket = newSocket;
			EssentialThread.start(threadName, () -> receive(newSocket, receiver), newSocket::isClosed);
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.SETTINGS_INVALID, "cannot listen on " + this.address, ex);
		}
	}

	/**
	 * Sends a datagram. Has no effect before the endpoint is open and after it is closed.
	 * @param bytes the datagram
	 * @param receiver the address of the receiver
	 */
	public void send(byte[] bytes, InetSocketAddress receiver) {
		DatagramSocket currentSocket = this.socket;
		if (currentSocket == null || currentSocket.isClosed()) {
			return;
		}
		try {
			currentSocket.send(new DatagramPacket(bytes, bytes.length, receiver));
		}
		catch (IOException ex) {
			logger.debug("Could not send a datagram to {}", receiver, ex);
		}
	}

	/**
	 * Stops sending and receiving.
	 */
	public void close() {
		DatagramSocket currentSocket = this.socket;
		if (currentSocket != null) {
			currentSocket.close();
		}
	}

	private static void receive(DatagramSocket socket, Receiver receiver) {
		byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
		while (!socket.isClosed()) {
			DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
			try {
				socket.receive(packet);
			}
			catch (IOException ex) {
				if (!socket.isClosed()) {
					logger.debug("Could not receive a datagram", ex);
				}
				continue;
			}
			receiver.onDatagram(buffer, packet.getLength());
		}
	}

	/**
	 * Receives datagrams.
	 */
	@FunctionalInterface
	public interface Receiver {

		/**
		 * Called for each datagram.
		 * @param buffer the buffer, which is used again after the call
		 * @param length the number of bytes received
		 */
		void onDatagram(byte[] buffer, int length);

	}

}
