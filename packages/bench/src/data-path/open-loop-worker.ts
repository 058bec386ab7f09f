import {parentPort, workerData} from 'node:worker_threads';

import {type OpenLoopOptions, runOpenLoop} from './open-loop.js';

parentPort?.postMessage(await runOpenLoop(workerData as OpenLoopOptions));
