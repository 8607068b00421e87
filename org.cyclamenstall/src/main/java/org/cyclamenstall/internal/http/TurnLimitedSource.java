package org.cyclamenstall.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.jspecify.annotations.Nullable;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits what is read from a connection for one read event. At the limit a read returns
 * no bytes, as if none had arrived, so the reader lets go of the thread like at any other
 * time; it is notified again at its next {@link ReadTurns turn}. The limit holds for all
 * readers of the connection (headers, bodies, trailers, discarded bytes), whatever their
 * bytes cost. Used on the I/O thread of the connection.
 */
public final class TurnLimitedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {

	/** Bytes that are read without a look at the clock, which most turns never exceed. */
	private static final int UNTIMED_BYTES = 4_096;

	private final ReadTurns turns;

	private final XnioIoThread thread;

	private @Nullable ReadReadyHandler handler;

	private long turnBytes;

	private boolean timed;

	/** When {@link #UNTIMED_BYTES} were read, valid if the turn is timed. */
	private long timedSinceNanos;

	private boolean awaitingTurn;

	/** Whether the reader asked to be notified, while it awaits its turn. */
	private boolean resumed;

	private TurnLimitedSource(StreamSourceConduit next, ReadTurns turns, XnioIoThread thread) {
		super(next);
		this.turns = turns;
		this.thread = thread;
	}

	/**
	 * Limits the reads of a connection. Called once, before the connection is used.
	 * @param connection the connection
	 * @param turns the turns of its I/O thread
	 */
	public static void attachTo(StreamConnection connection, ReadTurns turns) {
		TurnLimitedSource source = new TurnLimitedSource(connection.getSourceChannel().getConduit(), turns,
				connection.getIoThread());
		source.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(connection.getSourceChannel()));
		connection.getSourceChannel().setConduit(source);
	}

	@Override
	public void setReadReadyHandler(ReadReadyHandler newHandler) {
		this.handler = newHandler;
		super.setReadReadyHandler(new TurnStart(newHandler));
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		return mayRead() ? (int) count(super.read(target)) : 0;
	}

	@Override
	public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
		return mayRead() ? count(super.read(targets, offset, length)) : 0;
	}

	@Override
	public long transferTo(long position, long count, FileChannel target) throws IOException {
		return mayRead() ? count(super.transferTo(position, Math.min(count, remainingBytes()), target)) : 0;
	}

	@Override
	public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
		return mayRead() ? count(super.transferTo(Math.min(count, remainingBytes()), throughBuffer, target)) : 0;
	}

	@Override
	public void resumeReads() {
		this.resumed = true;
		if (!this.awaitingTurn) {
			super.resumeReads();
		}
	}

	@Override
	public void wakeupReads() {
		this.resumed = true;
		if (!this.awaitingTurn) {
			super.wakeupReads();
		}
	}

	@Override
	public void suspendReads() {
		this.resumed = false;
		super.suspendReads();
	}

	@Override
	public boolean isReadResumed() {
		return this.awaitingTurn ? this.resumed : super.isReadResumed();
	}

	private boolean mayRead() {
		if (this.awaitingTurn) {
			return false;
		}
		if (remainingBytes() > 0 && !(this.timed && this.turns.isOver(this.timedSinceNanos))) {
			return true;
		}
		this.resumed = super.isReadResumed();
		this.awaitingTurn = true;
		super.suspendReads();
		this.turns.await(this.thread, this::runTurn);
		return false;
	}

	private long remainingBytes() {
		return ReadTurns.MAXIMUM_TURN_BYTES - this.turnBytes;
	}

	private long count(long bytes) {
		this.turnBytes += Math.max(0, bytes);
		if (!this.timed && this.turnBytes >= UNTIMED_BYTES) {
			this.timed = true;
			this.timedSinceNanos = this.turns.now();
		}
		return bytes;
	}

	private void startTurn() {
		this.turnBytes = 0;
		this.timed = false;
	}

	private void runTurn() {
		this.awaitingTurn = false;
		startTurn();
		ReadReadyHandler currentHandler = this.handler;
		if (this.resumed && currentHandler != null && !isReadShutdown()) {
			super.resumeReads();
			currentHandler.readReady();
		}
	}

	/**
	 * Starts a turn with each read event.
	 */
	private final class TurnStart implements ReadReadyHandler {

		private final ReadReadyHandler delegate;

		TurnStart(ReadReadyHandler delegate) {
			this.delegate = delegate;
		}

		@Override
		public void readReady() {
			if (!TurnLimitedSource.this.awaitingTurn) {
				startTurn();
				this.delegate.readReady();
			}
		}

		@Override
		public void forceTermination() {
			this.delegate.forceTermination();
		}

		@Override
		public void terminated() {
			this.delegate.terminated();
		}

	}

}
