/**
 * Links between controllers over real sockets on loopback. Guards against an invalid frame that ends other connections,
 * and against requests that wait without end for a peer that is down or does not answer.
 */
import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { PeerLink } from '../src/io/peers/peer-link.js';
import { PeerServer } from '../src/io/peers/peer-server.js';

const freePort = async (): Promise<number> => {
  const server = net.createServer();
  await new Promise<void>((r) => server.listen(0, '127.0.0.1', r));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((r) => server.close(r));
  return port;
};

test('requests are answered, also concurrent ones, and an invalid frame ends only its own connection', async () => {
  const port = await freePort();
  const server = new PeerServer({
    onCancellation: (job) => Promise.resolve(job === 'wk-1' ? 'taken' : 'not_mine'),
    hasStateContact: () => true,
    maxConnections: 10,
  });
  await server.listen('127.0.0.1', port);
  const link = new PeerLink(`127.0.0.1:${port}`);
  try {
    assert.equal(await link.forwardCancellation('wk-1', 2000), 'taken');
    assert.deepEqual(
      await Promise.all([link.forwardCancellation('wk-2', 2000), link.forwardCancellation('wk-1', 2000)]),
      ['not_mine', 'taken'],
    );
    assert.equal(await link.hasStateContact(2000), true);
    // A frame length above the maximum, and a payload that is not valid protobuf.
    for (const bytes of [Buffer.from([0xff, 0xff, 0xff, 0xff, 1]), Buffer.from([0, 0, 0, 2, 0x0f, 0xff])]) {
      const connection = net.connect(port, '127.0.0.1');
      connection.on('error', () => undefined);
      connection.write(bytes);
      await new Promise((r) => connection.once('close', r).resume());
    }
    assert.equal(await link.forwardCancellation('wk-1', 2000), 'taken');
  } finally {
    link.close();
    server.close();
  }
});

test('a request to a peer that is down or does not answer yields null within the timeout', async () => {
  const port = await freePort();
  const link = new PeerLink(`127.0.0.1:${port}`);
  assert.equal(await link.forwardCancellation('wk-1', 500), null);
  const sockets: net.Socket[] = [];
  const silentServer = net.createServer((socket) => sockets.push(socket));
  await new Promise<void>((r) => silentServer.listen(port, '127.0.0.1', r));
  assert.equal(await link.hasStateContact(100), null);
  link.close();
  for (const socket of sockets) socket.destroy();
  silentServer.close();
});
