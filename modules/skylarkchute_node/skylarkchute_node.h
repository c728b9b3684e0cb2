#pragma once

/** Composes routing, ledger, bundles and peers: one event in, actions out. */
