package org.cyclamenstall.internal.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens client connections whose responses are checked by {@link VerifiedResponseSource},
 * and whose reads are limited by {@link TurnLimitedSource}. Stateless and thread-safe.
 */
public final class LimitedHttpClient {

	private LimitedHttpClient() {
	}

	/**
	 * Opens a connection.
	 * @param callback receives the connection or the failure, on the I/O thread
	 * @param server the address of the server
	 * @param thread the I/O thread of the connection
	 * @param buffers the buffer pool of the connection
	 * @param options the options of the socket
	 * @param turns the turns of the readers of the thread
	 */
	public static void connect(ClientCallback<ClientConnection> callback, URI server, XnioIoThread thread,
			ByteBufferPool buffers, OptionMap options, ReadTurns turns) {
		LimitingThread limitingThread = new LimitingThread(thread, turns);
		UndertowClient.getInstance().connect(new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				limitingThread.source().attachTo(connection);
				callback.completed(connection);
			}

			@Override
			public void failed(IOException ex) {
				callback.failed(ex);
			}

		}, server, limitingThread, buffers, options);
	}

	/**
	 * Opens one connection on another I/O thread and inserts the sources before the
	 * client receives the connection. It is never started as a thread: the client accepts
	 * no other type through which a connection can be prepared.
	 */
	private static final class LimitingThread extends XnioIoThread {

		private final XnioIoThread delegate;

		private final ReadTurns turns;

		private @Nullable VerifiedResponseSource source;

		LimitingThread(XnioIoThread delegate, ReadTurns turns) {
			super(delegate.getWorker(), delegate.getNumber());
			this.delegate = delegate;
			this.turns = turns;
		}

		VerifiedResponseSource source() {
			VerifiedResponseSource insertedSource = this.source;
			if (insertedSource == null) {
				throw new IllegalStateException("The connection was opened without its source");
			}
			return insertedSource;
		}

		@Override
		public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
				ChannelListener<? super StreamConnection> openListener, OptionMap options) {
			return this.delegate.openStreamConnection(destination, (connection) -> {
				TurnLimitedSource.attachTo(connection, this.turns);
				VerifiedResponseSource newSource = new VerifiedResponseSource(
						connection.getSourceChannel().getConduit());
				connection.getSourceChannel().setConduit(newSource);
				this.source = newSource;
				ChannelListeners.invokeChannelListener(connection, openListener);
			}, options);
		}

		@Override
		public void execute(Runnable task) {
			this.delegate.execute(task);
		}

		@Override
		public Key executeAfter(Runnable task, long time, TimeUnit unit) {
			return this.delegate.executeAfter(task, time, unit);
		}

		@Override
		public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
			return this.delegate.executeAtInterval(task, time, unit);
		}

	}

}
