/** The link between controllers over real sockets on loopback. */
import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { PeerLink, PeerServer } from '../src/io/peers/peer-link.js';

const freePort = async (): Promise<number> => {
  const s = net.createServer();
  await new Promise<void>((r) => s.listen(0, '127.0.0.1', r));
  const { port } = s.address() as net.AddressInfo;
  await new Promise((r) => s.close(r));
  return port;
};

test('questions are answered, also many at once, and a broken frame ends its connection only', async () => {
  const port = await freePort();
  const server = new PeerServer(
    (job) => Promise.resolve(job === 'wk-1' ? 'taken' : 'not_mine'),
    () => true,
    10,
  );
  await server.listen('127.0.0.1', port);
  const link = new PeerLink(`127.0.0.1:${port}`);
  try {
    assert.equal(await link.cancel('wk-1', 2000), 'taken');
    assert.deepEqual(await Promise.all([link.cancel('wk-2', 2000), link.cancel('wk-1', 2000)]), [
      'not_mine',
      'taken',
    ]);
    assert.equal(await link.contact(2000), true);
    for (const bytes of [Buffer.from([0xff, 0xff, 0xff, 0xff, 1]), Buffer.from([0, 0, 0, 2, 0x0f, 0xff])]) {
      const raw = net.connect(port, '127.0.0.1');
      raw.on('error', () => undefined);
      raw.write(bytes);
      await new Promise((r) => raw.once('close', r).resume());
    }
    assert.equal(await link.cancel('wk-1', 2000), 'taken');
  } finally {
    link.close();
    server.close();
  }
});

test('a peer that is gone or silent gives null in time', async () => {
  const port = await freePort();
  const gone = new PeerLink(`127.0.0.1:${port}`);
  assert.equal(await gone.cancel('wk-1', 500), null);
  const sockets: net.Socket[] = [];
  const mute = net.createServer((s) => sockets.push(s));
  await new Promise<void>((r) => mute.listen(port, '127.0.0.1', r));
  assert.equal(await gone.contact(100), null);
  gone.close();
  for (const s of sockets) s.destroy();
  mute.close();
});
