#include "Commands.h"

int main(int aArgumentCount, char** aArguments)
{
  return skylarkchute::RunCommand({ aArguments + 1, aArguments + aArgumentCount });
}
