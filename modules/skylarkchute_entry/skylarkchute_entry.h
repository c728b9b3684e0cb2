#pragma once

/** HTTP towards callers. */
